"""Time at which to stop a cancelled attempt whose prefill is still running."""

from __future__ import annotations

from dataclasses import dataclass

MAX_REMAINING_PREFILL_S = 0.5
MAX_REMAINING_PREFILL_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Prefill:
    """Hold when a prefill started and when it is expected to end, in epoch seconds."""

    started_at: float
    expected_end_at: float


def cancellation_time(prefill: Prefill | None, now: float) -> float:
    """Return the epoch time at which to stop a cancelled attempt.

    A prefill that is nearly done runs to its end, so that the prefix cache keeps its
    result: what is left must be small, both in seconds and as a share of what would
    have to be computed again.
    """
    if prefill is None:
        return now
    left = prefill.expected_end_at - now
    share = MAX_REMAINING_PREFILL_SHARE * (prefill.expected_end_at - prefill.started_at)
    if 0 < left <= min(MAX_REMAINING_PREFILL_S, share):
        return prefill.expected_end_at
    return now
