"""Kinds of datagrams between gateways.

Each datagram is a msgpack array of at most 15 fields, the first of which is a small
integer that names its kind.
"""

from __future__ import annotations

MAX_DATAGRAM_BYTES = 1400
# IP and UDP headers.
DATAGRAM_HEADER_BYTES = 28
# Other releases use other kinds for messages with other fields and ignore these.
NODE_REPORT = 4
ENDPOINT_NOTICES = 65
CRASH_EVIDENCE = 66
FIRST_EVENT_WAITS = 67
ENDPOINT_RATES = 70
# The first field follows the header of the array, which takes one byte.
_KIND_INDEX = 1


def datagram_kind(data: bytes) -> int | None:
    """Return the kind of a datagram, or None if it is too short to have one."""
    return data[_KIND_INDEX] if len(data) > _KIND_INDEX else None
