"""Single flight: followers of a prefix that is being computed wait for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.admission.types import Waiting
from agatehoist.core.identity import AttemptId

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from agatehoist.admission.types import Job
    from agatehoist.core.work import PrefixLevel

OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class Flight:
    """Describe a prefill under way, late after a stored point in time."""

    leader: AttemptId
    tokens_by_digest: dict[bytes, int]
    expected_at: float
    overdue_at: float


@dataclass(frozen=True, slots=True)
class Shared:
    """Name a flight and the prefix that it computes for another job."""

    flight: Flight
    prefix_tokens: int


@dataclass(frozen=True, slots=True)
class Landing:
    """Name a flight that has ended and the jobs that waited for it."""

    flight: Flight
    followers: tuple[Waiting, ...]


class Flights:
    """Keep the prefills under way and the jobs that wait for them."""

    def __init__(self) -> None:
        self._flights_by_leader: dict[AttemptId, Flight] = {}
        self._leaders_by_digest: dict[bytes, AttemptId] = {}
        self._leaders_by_follower: dict[AttemptId, AttemptId] = {}
        self._followers_by_leader: dict[AttemptId, dict[AttemptId, Waiting]] = {}

    def lead(self, job: Job, now: float, expected_at: float) -> None:
        """Note that a job computes the levels that aren't cached."""
        computed = {
            each.digest: each.tokens
            for each in job.levels
            if each.tokens > job.cached_tokens
        }
        overdue_at = now + OVERDUE_FACTOR * (expected_at - now) + OVERDUE_MARGIN_S
        flight = Flight(job.attempt_id, computed, expected_at, overdue_at)
        self._flights_by_leader[job.attempt_id] = flight
        for digest in computed:
            self._leaders_by_digest.setdefault(digest, job.attempt_id)

    def shared(
        self, levels: Sequence[PrefixLevel], cached_tokens: int = 0
    ) -> Shared | None:
        """Return the longest prefix past the cached one that is being computed."""
        for level in reversed(levels):
            leader = self._leaders_by_digest.get(level.digest)
            if leader is not None and level.tokens > cached_tokens:
                return Shared(self._flights_by_leader[leader], level.tokens)
        return None

    def follow(self, flight: Flight, waiting: Waiting) -> None:
        """Let a job wait for a flight."""
        attempt_id = waiting.job.attempt_id
        followers_by_id = self._followers_by_leader.setdefault(flight.leader, {})
        followers_by_id[attempt_id] = waiting
        self._leaders_by_follower[attempt_id] = flight.leader

    def leave(self, attempt_id: AttemptId) -> bool:
        """Stop a job's wait and say whether it waited."""
        leader = self._leaders_by_follower.pop(attempt_id, None)
        if leader is None:
            return False
        del self._followers_by_leader[leader][attempt_id]
        return True

    def end(self, leader: AttemptId) -> Landing | None:
        """End a flight; its followers no longer wait."""
        flight = self._flights_by_leader.pop(leader, None)
        if flight is None:
            return None
        for digest in flight.tokens_by_digest:
            if self._leaders_by_digest.get(digest) == leader:
                del self._leaders_by_digest[digest]
        followers_by_id = self._followers_by_leader.pop(leader, {})
        for attempt_id in followers_by_id:
            del self._leaders_by_follower[attempt_id]
        return Landing(flight, tuple(followers_by_id.values()))

    def overdue(self, now: float) -> tuple[Flight, ...]:
        """Return the late flights that have followers."""
        return tuple(each for each in self._followed() if each.overdue_at <= now)

    def next_overdue_at(self) -> float | None:
        """Return when the first flight with followers is late."""
        return min((each.overdue_at for each in self._followed()), default=None)

    def _followed(self) -> Iterator[Flight]:
        for leader, followers_by_id in self._followers_by_leader.items():
            if followers_by_id:
                yield self._flights_by_leader[leader]
