"""Encoding of host lists for peers."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgpack
from cattrs.preconf.msgpack import make_converter

from agatehoist.membership.errors import BadHostListError
from agatehoist.storage.types import HostEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_PACKED_BYTES = 4 * 1024 * 1024

_converter = make_converter()


def pack_hosts(entries: Iterable[HostEntry]) -> bytes:
    """Return a host list as compressed bytes, the same for the same entries."""
    ordered = sorted(entries, key=lambda each: each.host)
    return zlib.compress(msgpack.packb(_converter.unstructure(ordered)))


def unpack_hosts(payload: bytes) -> tuple[HostEntry, ...]:
    """Return the host list in compressed bytes.

    Raises BadHostListError.
    """
    try:
        data = zlib.decompressobj().decompress(payload, MAX_PACKED_BYTES)
        return _converter.structure(msgpack.unpackb(data), tuple[HostEntry, ...])
    except Exception as error:
        raise BadHostListError("a host list can't be read") from error
