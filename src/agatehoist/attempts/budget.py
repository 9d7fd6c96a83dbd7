"""Limits on how often and how soon work is tried again."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random

    from agatehoist.core.clock import Clock

RETRY_SHARE = 0.2
RETRY_RESERVE = 20.0
# Few processes have spent their slack when they end.
SLACK_SHARE_AT_START = 0.4
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0


class Budget(Protocol):
    """Bound the repeats."""

    def note_request(self) -> None:
        """Count a request, which earns its share of a repeat."""

    def try_spend(self) -> bool:
        """Take one repeat from the budget and say whether it was there."""


class RetryBudget:
    """Allow retries as a share of the requests seen, with a small reserve."""

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def note_request(self) -> None:
        """Count a request, which earns its share of a retry."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Take one retry from the budget and say whether it was there."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class WindowBudget:
    """Allow repeats within any window up to a ratio of the requests in it and a slack.

    A process that has just started doesn't know what it sent before, so it gets the
    whole slack only from a later epoch time on, and a share before.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        slack: float,
        window_s: float,
        slack_from: float,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slack_from = slack_from
        self._requests_at: deque[float] = deque()
        self._repeats_at: deque[float] = deque()

    def set_slack(self, slack: float) -> None:
        """Change the slack, such as when more nodes share it."""
        self._slack = slack

    def note_request(self) -> None:
        """Count a request, which earns its share of a repeat."""
        self._requests_at.append(self._clock.now())
        self._forget()

    def try_spend(self, left_share: float = 0.0) -> bool:
        """Take one repeat from the budget if so large a share of it is left after."""
        self._forget()
        now = self._clock.now()
        slack = self._slack
        if now < self._slack_from:
            slack *= SLACK_SHARE_AT_START
        allowed = self._ratio * len(self._requests_at) + slack
        if len(self._repeats_at) + 1 > (1 - left_share) * allowed:
            return False
        self._repeats_at.append(now)
        return True

    def _forget(self) -> None:
        oldest = self._clock.now() - self._window_s
        for times in (self._requests_at, self._repeats_at):
            while times and times[0] < oldest:
                times.popleft()


def backoff_until(now: float, failures: int, rng: random.Random) -> float:
    """Return the epoch time of the next try, with full jitter."""
    ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return now + rng.uniform(0, ceiling)
