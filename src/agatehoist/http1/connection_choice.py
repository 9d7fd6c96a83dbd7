"""Choice of the connections to close when a process has too many."""

from __future__ import annotations

import enum
import heapq
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A head and a small body arrive in less time, also behind the opening of a connection.
MIN_PHASE_S = 0.5
# One that was chosen may have got input since and is then passed over.
MAX_CHOICES = 8


class Phase(enum.Enum):
    """Tell what a connection does: its requests come, are read, or are answered."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Describe a connection of a caller and since when it has been in its phase."""

    number: int
    host: str
    phase: Phase
    since: float


def closable(connections: Iterable[OpenConnection], now: float) -> list[OpenConnection]:
    """Return the connections to close first, the best choice first.

    Handles callers that hold more connections than the descriptors and the memory of a
    process allow: of the host with most connections, the idlest goes first, then the
    one whose request has been read for longest. Requests that are being answered, or
    whose bytes may still be under way, are never cut.
    """
    held = tuple(connections)
    count_by_host = Counter(each.host for each in held)
    candidates = (each for each in held if _may_be_closed(each, now))
    return heapq.nlargest(
        MAX_CHOICES,
        candidates,
        key=lambda each: (
            count_by_host[each.host],
            each.phase is Phase.IDLE,
            now - each.since,
        ),
    )


def _may_be_closed(connection: OpenConnection, now: float) -> bool:
    is_served = connection.phase is Phase.SERVING
    return not is_served and now - connection.since >= MIN_PHASE_S
