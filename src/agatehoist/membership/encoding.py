"""Encoding of host lists for transfer to peers."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgpack
from cattrs.preconf.msgpack import make_converter

from agatehoist.membership.errors import BadHostListError
from agatehoist.storage.types import HostEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_UNPACKED_BYTES = 4 * 1024 * 1024

_converter = make_converter()


def pack_hosts(entries: Iterable[HostEntry]) -> bytes:
    """Return a host list as compressed bytes, identical for equal sets of entries."""
    ordered = sorted(entries, key=lambda entry: entry.host)
    return zlib.compress(msgpack.packb(_converter.unstructure(ordered)))


def unpack_hosts(payload: bytes) -> tuple[HostEntry, ...]:
    """Return the host list that compressed bytes hold.

    Raises BadHostListError.
    """
    try:
        data = zlib.decompressobj().decompress(payload, MAX_UNPACKED_BYTES)
        return _converter.structure(msgpack.unpackb(data), tuple[HostEntry, ...])
    except Exception as error:
        raise BadHostListError("host list can't be decompressed or decoded") from error
