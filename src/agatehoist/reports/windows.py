"""Windows over which burn rates are taken, and the slots that hold them."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.reports.types import Point, Tally

MINUTE_S = 60
HOUR_S = 60 * MINUTE_S
DAY_S = 24 * HOUR_S


@dataclass(frozen=True, slots=True)
class Tier:
    """Describe a ring of slots; the slot length is in seconds."""

    slot_s: int
    slots: int

    @property
    def reach_s(self) -> int:
        """Return how far back the ring reaches, in seconds."""
        return self.slot_s * self.slots


TIERS = (
    Tier(MINUTE_S, 60),
    Tier(10 * MINUTE_S, 36),
    Tier(HOUR_S, 72),
)

WINDOWS_S_BY_NAME = {
    "5m": 5 * MINUTE_S,
    "30m": 30 * MINUTE_S,
    "1h": HOUR_S,
    "6h": 6 * HOUR_S,
    "3d": 3 * DAY_S,
}


class SlotRing:
    """Count good and all requests in slots of time."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self._numbers = [-1] * tier.slots
        self._good = [0] * tier.slots
        self._total = [0] * tier.slots

    def add(self, at: float, good: bool) -> None:
        """Count one request at a time."""
        number = int(at) // self.tier.slot_s
        index = number % self.tier.slots
        if self._numbers[index] != number:
            self._numbers[index] = number
            self._good[index] = 0
            self._total[index] = 0
        self._good[index] += good
        self._total[index] += 1

    def points(self, now: float, window_s: float) -> tuple[Point, ...]:
        """Return the slots of the window that ends now, oldest first."""
        newest = int(now) // self.tier.slot_s
        count = min(self.tier.slots, max(1, int(window_s) // self.tier.slot_s))
        return tuple(
            self._point(number) for number in range(newest - count + 1, newest + 1)
        )

    def _point(self, number: int) -> Point:
        ended_at = float((number + 1) * self.tier.slot_s)
        index = number % self.tier.slots
        if self._numbers[index] != number:
            return Point(ended_at, Tally())
        return Point(ended_at, Tally(self._good[index], self._total[index]))


class Windows:
    """Count requests so that every window can be read."""

    def __init__(self) -> None:
        self._rings = tuple(SlotRing(tier) for tier in TIERS)

    def add(self, at: float, good: bool) -> None:
        """Count one request at a time."""
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
        """Return the finest slots, oldest first."""
        return self._rings[0].points(now, TIERS[0].reach_s)

    def _ring(self, window_s: float) -> SlotRing:
        return next(ring for ring in self._rings if ring.tier.reach_s >= window_s)
