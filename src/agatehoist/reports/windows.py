"""Time windows of burn rates and the ring buffers that count requests in them."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.reports.types import Point, Tally

MINUTE_S = 60
HOUR_S = 60 * MINUTE_S
DAY_S = 24 * HOUR_S


@dataclass(frozen=True, slots=True)
class RingSpec:
    """Describe a ring buffer of time slots; the slot length is in seconds."""

    slot_s: int
    slots: int

    @property
    def span_s(self) -> int:
        """Return the total length of the slots, in seconds."""
        return self.slot_s * self.slots


RING_SPECS = (
    RingSpec(MINUTE_S, 60),
    RingSpec(10 * MINUTE_S, 36),
    RingSpec(HOUR_S, 72),
)

WINDOWS_S_BY_NAME = {
    "5m": 5 * MINUTE_S,
    "30m": 30 * MINUTE_S,
    "1h": HOUR_S,
    "6h": 6 * HOUR_S,
    "3d": 3 * DAY_S,
}


class SlotRing:
    """Count good and all requests per time slot in a ring buffer."""

    def __init__(self, spec: RingSpec) -> None:
        self.spec = spec
        self._slot_numbers = [-1] * spec.slots
        self._good = [0] * spec.slots
        self._total = [0] * spec.slots

    def add(self, at: float, good: bool) -> None:
        """Count one request that ended at a time in epoch seconds."""
        number = int(at) // self.spec.slot_s
        index = number % self.spec.slots
        if self._slot_numbers[index] != number:
            self._slot_numbers[index] = number
            self._good[index] = 0
            self._total[index] = 0
        self._good[index] += good
        self._total[index] += 1

    def points(self, now: float, window_s: float) -> tuple[Point, ...]:
        """Return the tallies of the slots of the window that ends now, oldest first."""
        newest = int(now) // self.spec.slot_s
        count = min(self.spec.slots, max(1, int(window_s) // self.spec.slot_s))
        return tuple(
            self._point(number) for number in range(newest - count + 1, newest + 1)
        )

    def _point(self, number: int) -> Point:
        ended_at = float((number + 1) * self.spec.slot_s)
        index = number % self.spec.slots
        if self._slot_numbers[index] != number:
            return Point(ended_at, Tally())
        return Point(ended_at, Tally(self._good[index], self._total[index]))


class WindowCounter:
    """Count requests over every burn-rate window."""

    def __init__(self) -> None:
        self._rings = tuple(SlotRing(spec) for spec in RING_SPECS)

    def add(self, at: float, good: bool) -> None:
        """Count one request that ended at a time in epoch seconds."""
        for ring in self._rings:
            ring.add(at, good)

    def tallies(self, now: float) -> dict[str, Tally]:
        """Return the tally of each window that ends now."""
        return {
            name: sum(
                (point.tally for point in self._ring(window_s).points(now, window_s)),
                Tally(),
            )
            for name, window_s in WINDOWS_S_BY_NAME.items()
        }

    def recent_points(self, now: float) -> tuple[Point, ...]:
        """Return the tallies of the shortest slots, oldest first."""
        return self._rings[0].points(now, RING_SPECS[0].span_s)

    def _ring(self, window_s: float) -> SlotRing:
        return next(ring for ring in self._rings if ring.spec.span_s >= window_s)
