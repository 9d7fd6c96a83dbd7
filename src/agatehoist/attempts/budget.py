"""Retry budgets and the backoff between retries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random

    from agatehoist.core.clock import Clock

RETRY_SHARE = 0.2
RETRY_RESERVE = 20.0
# A restarted process does not know what its predecessor spent; few processes have
# spent their slack when they end.
SLACK_SHARE_AT_START = 0.4
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0


class Budget(Protocol):
    """Limit the number of retries."""

    def note_request(self) -> None:
        """Count a request, which adds a fraction of a retry to the budget."""

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if none is left."""


class RetryBudget:
    """Allow retries as a share of the requests counted, plus a small reserve."""

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def note_request(self) -> None:
        """Count a request, which adds a fraction of a retry to the balance."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Take one retry from the balance; return False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class WindowBudget:
    """Allow retries in any window up to a ratio of its requests plus a fixed slack.

    A process that has just started doesn't know which retries it sent before the
    restart, so until the epoch time `slack_from` it gets only a share of the slack.
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
        self._retries_at: deque[float] = deque()

    def set_slack(self, slack: float) -> None:
        """Set the slack, for example when more nodes share it."""
        self._slack = slack

    def note_request(self) -> None:
        """Count a request, which raises the retries allowed in the window."""
        self._requests_at.append(self._clock.now())
        self._discard_expired()

    def try_spend(self, reserved_share: float = 0.0) -> bool:
        """Take one retry if `reserved_share` of the budget is still left afterwards."""
        self._discard_expired()
        now = self._clock.now()
        slack = self._slack
        if now < self._slack_from:
            slack *= SLACK_SHARE_AT_START
        allowed = self._ratio * len(self._requests_at) + slack
        if len(self._retries_at) + 1 > (1 - reserved_share) * allowed:
            return False
        self._retries_at.append(now)
        return True

    def _discard_expired(self) -> None:
        oldest = self._clock.now() - self._window_s
        for times in (self._requests_at, self._retries_at):
            while times and times[0] < oldest:
                times.popleft()


def backoff_until(now: float, failures: int, rng: random.Random) -> float:
    """Return the epoch time of the next retry: exponential backoff with full jitter."""
    ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return now + rng.uniform(0, ceiling)
