"""Longest gap between the events of a stream, with the load of its endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.fleet.load import NO_WORK, EndpointWork


@dataclass(frozen=True, slots=True)
class Gap:
    """Hold the time between two events, and the load of the endpoint meanwhile."""

    gap_s: float = 0.0
    endpoint: str = ""
    work: EndpointWork = NO_WORK


class StreamGaps:
    """Track the gaps of a stream; times are in epoch seconds."""

    def __init__(self, endpoint: str = "") -> None:
        self.longest = Gap()
        self._endpoint = endpoint
        self._last_at: float | None = None
        self._last_work = NO_WORK

    def note(self, now: float, work: EndpointWork = NO_WORK) -> Gap | None:
        """Record events and the load at that time; return the gap before them.

        Its load is the higher one of those at its ends: the prompt that has caused a
        gap is often read by the time of the next event.
        """
        last_at, last_work = self._last_at, self._last_work
        self._last_at, self._last_work = now, work
        if last_at is None:
            return None
        busier = max(last_work, work, key=lambda each: each.unprocessed_tokens)
        gap = Gap(max(0.0, now - last_at), self._endpoint, busier)
        self.longest = longer_gap(self.longest, gap)
        return gap


def longer_gap(first: Gap, second: Gap) -> Gap:
    """Return the longer one of two gaps."""
    return second if second.gap_s > first.gap_s else first
