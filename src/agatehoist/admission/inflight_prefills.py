"""Single flight: jobs wait for a shared prefix that another job is computing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.admission.types import WaitingJob
from agatehoist.core.identity import AttemptId

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from agatehoist.admission.types import Job
    from agatehoist.core.work import PrefixLevel

# A prefill is overdue after this multiple of its expected time, plus the margin.
OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class InflightPrefill:
    """Describe a prefill in progress; times are in epoch seconds.

    tokens_by_digest holds the length in tokens of the prefix with each digest, and
    expected_at the expected end of the prefill. Followers are released without its
    result once overdue_at has passed.
    """

    leader: AttemptId
    tokens_by_digest: dict[bytes, int]
    expected_at: float
    overdue_at: float


@dataclass(frozen=True, slots=True)
class PrefixMatch:
    """Name a prefill in progress and the prefix length that another job can reuse."""

    prefill: InflightPrefill
    prefix_tokens: int


@dataclass(frozen=True, slots=True)
class EndedPrefill:
    """Hold a prefill that isn't waited for any more and the jobs that waited for it.

    It has been completed, has failed or is overdue.
    """

    prefill: InflightPrefill
    followers: tuple[WaitingJob, ...]


class InflightPrefills:
    """Track the prefills in progress and the jobs that wait for them."""

    def __init__(self) -> None:
        self._prefills_by_leader: dict[AttemptId, InflightPrefill] = {}
        self._leaders_by_digest: dict[bytes, AttemptId] = {}
        self._leaders_by_follower: dict[AttemptId, AttemptId] = {}
        self._followers_by_leader: dict[AttemptId, dict[AttemptId, WaitingJob]] = {}

    def add_leader(self, job: Job, now: float, expected_at: float) -> None:
        """Register a job as the leader for its prefix levels that aren't cached."""
        computed = {
            each.digest: each.tokens
            for each in job.levels
            if each.tokens > job.cached_tokens
        }
        overdue_at = now + OVERDUE_FACTOR * (expected_at - now) + OVERDUE_MARGIN_S
        prefill = InflightPrefill(job.attempt_id, computed, expected_at, overdue_at)
        self._prefills_by_leader[job.attempt_id] = prefill
        for digest in computed:
            self._leaders_by_digest.setdefault(digest, job.attempt_id)

    def longest_prefix(
        self, levels: Sequence[PrefixLevel], cached_tokens: int = 0
    ) -> PrefixMatch | None:
        """Return the longest prefix being computed that exceeds the cached tokens."""
        for level in reversed(levels):
            leader = self._leaders_by_digest.get(level.digest)
            if leader is not None and level.tokens > cached_tokens:
                return PrefixMatch(self._prefills_by_leader[leader], level.tokens)
        return None

    def add_follower(self, prefill: InflightPrefill, waiting: WaitingJob) -> None:
        """Let a job wait for a prefill in progress."""
        attempt_id = waiting.job.attempt_id
        followers_by_id = self._followers_by_leader.setdefault(prefill.leader, {})
        followers_by_id[attempt_id] = waiting
        self._leaders_by_follower[attempt_id] = prefill.leader

    def remove_follower(self, attempt_id: AttemptId) -> bool:
        """Stop a job's wait and return whether it was waiting."""
        leader = self._leaders_by_follower.pop(attempt_id, None)
        if leader is None:
            return False
        del self._followers_by_leader[leader][attempt_id]
        return True

    def end_prefill(self, leader: AttemptId) -> EndedPrefill | None:
        """Remove a prefill and return it with its followers."""
        prefill = self._prefills_by_leader.pop(leader, None)
        if prefill is None:
            return None
        for digest in prefill.tokens_by_digest:
            if self._leaders_by_digest.get(digest) == leader:
                del self._leaders_by_digest[digest]
        followers_by_id = self._followers_by_leader.pop(leader, {})
        for attempt_id in followers_by_id:
            del self._leaders_by_follower[attempt_id]
        return EndedPrefill(prefill, tuple(followers_by_id.values()))

    def overdue(self, now: float) -> tuple[InflightPrefill, ...]:
        """Return the overdue prefills that have followers."""
        return tuple(each for each in self._followed() if each.overdue_at <= now)

    def next_overdue_at(self) -> float | None:
        """Return when the first prefill with followers is overdue, in epoch seconds."""
        return min((each.overdue_at for each in self._followed()), default=None)

    def _followed(self) -> Iterator[InflightPrefill]:
        for leader, followers_by_id in self._followers_by_leader.items():
            if followers_by_id:
                yield self._prefills_by_leader[leader]
