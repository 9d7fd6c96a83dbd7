"""Encoding of accepted documents for the platform and for peers."""

from __future__ import annotations

import dataclasses
import json
import zlib
from typing import Any

import msgpack

from agatehoist.configuration.document import Change, Document, Record
from agatehoist.configuration.errors import BadRecordError
from agatehoist.settings.convert import make_converter

MAX_OBJECT_BYTES = 1024 * 1024
# 16 KiB are left for the change and the encoding of the stored object.
MAX_DOCUMENT_BYTES = MAX_OBJECT_BYTES - 16 * 1024
# Limits the memory that a compressed record from a peer can take.
MAX_DECOMPRESSED_BYTES = 2 * MAX_OBJECT_BYTES

_converter = make_converter()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Hold an accepted document in the form that the platform stores."""

    change: Change
    document: Document


def document_bytes(document: Document) -> int:
    """Return the size of a document as the platform stores it."""
    return len(json.dumps(document_value(document), separators=(",", ":")).encode())


def document_value(document: Document) -> dict[str, Any]:
    """Return a document as plain values."""
    return _converter.unstructure(document)


def record_value(record: Record) -> dict[str, Any]:
    """Return the value that the platform stores for a record."""
    return _converter.unstructure(StoredRecord(record.change, record.document))


def parse_record(value: Any, revision: int) -> Record:
    """Return the record that an object of the platform holds.

    Raises BadRecordError.
    """
    try:
        stored = _converter.structure(value, StoredRecord)
    except Exception as error:
        raise BadRecordError(
            f"configuration revision {revision} isn't a valid record"
        ) from error
    return Record(revision, stored.change, stored.document)


def pack_record(record: Record) -> bytes:
    """Return a record as compressed bytes."""
    return zlib.compress(msgpack.packb(record_value(record)))


def unpack_record(payload: bytes, revision: int) -> Record:
    """Return the record in compressed bytes.

    Raises BadRecordError.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(payload, MAX_DECOMPRESSED_BYTES)
        value = msgpack.unpackb(data)
    except (zlib.error, ValueError, msgpack.exceptions.UnpackException) as error:
        raise BadRecordError(
            f"configuration revision {revision} can't be decompressed or unpacked"
        ) from error
    return parse_record(value, revision)
