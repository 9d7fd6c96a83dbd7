"""Decision whether reads that failed tell of an outage of the store.

Entries that expire while the store is unavailable come back soon after its return. If
it only closed a watch, it served all the while, and a missing entry is gone.
"""

from __future__ import annotations

from agatehoist.storage.errors import (
    CallCutError,
    CallTimedOutError,
    PlatformError,
    RateLimitedError,
)

# The store answers the next read within this time if it only closed a watch.
MIN_OUTAGE_S = 0.5
# A store that discards its history closes watches several times in a row, but no longer
# than this without a reply.
MAX_CUTS_S = 1.0
# Entries that expired during an outage are back within about two seconds.
OUTAGE_GRACE_S = 2.5
# After a silence that may have been that of one connection, requests must still reach
# no endpoint later than two seconds after it has left.
SILENCE_GRACE_S = 1.5


class OutageDetector:
    """Tell outages from single failures; times are in epoch seconds."""

    def __init__(self) -> None:
        self._first_failure_at: float | None = None
        self._failing_since = 0.0
        self._is_silent = False

    def note_failure(self, error: PlatformError, now: float) -> None:
        """Record a read that failed on all paths to the store."""
        if isinstance(error, RateLimitedError):
            # The store serves, and only not this call.
            return
        self.note_unavailable(now)
        assert self._first_failure_at is not None
        if (
            isinstance(error, CallCutError)
            and now < self._first_failure_at + MAX_CUTS_S
        ):
            # The store had accepted a call that waited until it was cut.
            self._failing_since = now
        self._is_silent = self._is_silent or isinstance(error, CallTimedOutError)

    def note_unavailable(self, now: float) -> None:
        """Record that no node answers for the store."""
        if self._first_failure_at is None:
            self._first_failure_at = self._failing_since = now

    def note_reply(self, now: float) -> float:
        """Record a reply; return for how long missing entries are to be kept."""
        has_failed, is_silent = self._first_failure_at is not None, self._is_silent
        self._first_failure_at, self._is_silent = None, False
        if not has_failed:
            return 0.0
        if now >= self._failing_since + MIN_OUTAGE_S:
            return OUTAGE_GRACE_S
        return SILENCE_GRACE_S if is_silent else 0.0
