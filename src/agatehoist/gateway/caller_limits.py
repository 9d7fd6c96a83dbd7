"""Limits on what a process holds for callers, by the limits of its machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.gateway.settings import MachineLimits

BYTES_PER_MB = 1024 * 1024
# The other half of the descriptors is for endpoints, other nodes and the store.
DESCRIPTOR_SHARE = 0.5
# The part of the memory that connections with unread heads and small bodies may fill,
# and how much each of them holds at most.
CONNECTION_MEMORY_SHARE = 0.25
CONNECTION_BYTES = 64 * 1024
MIN_CONNECTIONS = 16
# Large bodies that are read at the same time, by memory; each has buffers and a place
# in the order in which they are read. Ordinary callers send few such bodies.
OPEN_BODIES_PER_MB = 0.5
MIN_OPEN_BODIES = 32
# The part of the memory that may be held of replies for callers that read slowly.
BACKLOG_MEMORY_SHARE = 0.125
# Where the settings don't state the memory, it is that of the smallest machines.
DEFAULT_MEMORY_MB = 128


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit what is held for callers.

    That is connections, large bodies that are read at once, and bytes of replies that
    callers read slowly.
    """

    max_connections: int
    max_open_bodies: int
    max_backlog_bytes: int


def caller_limits(machine: MachineLimits, process_descriptors: int) -> CallerLimits:
    """Return the limits for a machine and the descriptors that its kernel allows.

    Handles callers that open connections and bodies without ending them.
    """
    descriptors = process_descriptors
    if machine.max_descriptors:
        descriptors = min(descriptors, machine.max_descriptors)
    connections = int(DESCRIPTOR_SHARE * descriptors)
    if machine.memory_mb:
        shared = CONNECTION_MEMORY_SHARE * machine.memory_mb * BYTES_PER_MB
        connections = min(connections, int(shared / CONNECTION_BYTES))
    memory_mb = machine.memory_mb or DEFAULT_MEMORY_MB
    return CallerLimits(
        max(MIN_CONNECTIONS, connections),
        max(MIN_OPEN_BODIES, int(OPEN_BODIES_PER_MB * memory_mb)),
        int(BACKLOG_MEMORY_SHARE * memory_mb * BYTES_PER_MB),
    )
