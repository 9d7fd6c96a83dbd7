"""Retry budgets and the backoff between retries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random

    from agatehoist.core.clock import Clock

RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 20.0
# Share of the slack that is available until `full_slack_from`: the retries that the
# process sent before a restart are unknown and may still count in the window. Few
# processes have used up their slack when they end.
SLACK_SHARE_AT_START = 0.4
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0


class Budget(Protocol):
    """Limit the number of retries."""

    def note_request(self) -> None:
        """Count a request, which adds a fraction of a retry to the budget."""

    def has_retry(self) -> bool:
        """Return whether a retry is left."""

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if none is left."""

    def give_back(self) -> None:
        """Return a retry that was taken and isn't needed."""


class RetryBudget:
    """Allow a number of retries per request, and save unused ones up to a maximum.

    At the start the maximum is saved.
    """

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        max_saved_retries: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._retries_per_request = retries_per_request
        self._max_saved_retries = max_saved_retries
        self._saved_retries = max_saved_retries

    def note_request(self) -> None:
        """Count a request, which adds a fraction of a retry to the saved retries."""
        self._saved_retries = min(
            self._max_saved_retries, self._saved_retries + self._retries_per_request
        )

    def has_retry(self) -> bool:
        """Return whether a saved retry is left."""
        return self._saved_retries >= 1

    def try_spend(self) -> bool:
        """Take one of the saved retries; return False if none is left."""
        if not self.has_retry():
            return False
        self._saved_retries -= 1
        return True

    def give_back(self) -> None:
        """Return a retry that was taken and isn't needed."""
        self._saved_retries = min(self._max_saved_retries, self._saved_retries + 1)


class WindowBudget:
    """Allow retries in any window up to a ratio of its requests plus a fixed slack.

    A process that has just started doesn't know which retries it sent before the
    restart, so until the epoch time `full_slack_from` it gets only a share of the
    slack.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        slack: float,
        window_s: float,
        full_slack_from: float,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._full_slack_from = full_slack_from
        self._requests_at: deque[float] = deque()
        self._retries_at: deque[float] = deque()

    def set_slack(self, slack: float) -> None:
        """Set this process's part of a slack that is divided among several nodes."""
        self._slack = slack

    def note_request(self) -> None:
        """Count a request, which raises the retries allowed in the window."""
        self._requests_at.append(self._clock.now())
        self._discard_expired()

    def has_retry(self, unspent_share: float = 0.0, count: int = 1) -> bool:
        """Return whether so many retries would leave a share of the budget unspent."""
        self._discard_expired()
        slack = self._slack
        if self._clock.now() < self._full_slack_from:
            slack *= SLACK_SHARE_AT_START
        allowed = self._ratio * len(self._requests_at) + slack
        return len(self._retries_at) + count <= (1 - unspent_share) * allowed

    def try_spend(self, unspent_share: float = 0.0) -> bool:
        """Take one retry if at least `unspent_share` of the budget remains unspent."""
        if not self.has_retry(unspent_share):
            return False
        self._retries_at.append(self._clock.now())
        return True

    def give_back(self) -> None:
        """Return a retry that was taken and isn't needed."""
        # Without the oldest, the others count at least as long as they should.
        if self._retries_at:
            self._retries_at.popleft()

    def _discard_expired(self) -> None:
        oldest = self._clock.now() - self._window_s
        for times in (self._requests_at, self._retries_at):
            while times and times[0] < oldest:
                times.popleft()


def next_retry_at(now: float, try_count: int, rng: random.Random) -> float:
    """Return the epoch time of the next retry: exponential backoff with full jitter.

    `try_count` counts the tries made so far.
    """
    # The exponent is limited so that the power stays small.
    ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(try_count, 16))
    return now + rng.uniform(0, ceiling)
