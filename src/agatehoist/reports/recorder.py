"""Counting of requests by objective, organisation and model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.reports.objectives import OBJECTIVE_KINDS
from agatehoist.reports.types import SeriesKey, SeriesTallies, Snapshot
from agatehoist.reports.windows import Windows

if TYPE_CHECKING:
    from agatehoist.reports.types import Objective, Observation

MAX_SERIES = 512
OTHERS = "(others)"
ALL = "(all)"


class BurnRecorder:
    """Count how requests meet the objectives, in bounded memory.

    Once there are too many series, further organisations share one.
    """

    def __init__(
        self, node: str, objectives_by_name: dict[str, Objective], now: float
    ) -> None:
        self._node = node
        self._objectives_by_name = objectives_by_name
        self._counted_since = now
        self._windows_by_key: dict[SeriesKey, Windows] = {}

    def set_objectives(self, objectives_by_name: dict[str, Objective]) -> None:
        """Take changed objectives; a changed one starts its count again."""
        for key in tuple(self._windows_by_key):
            before = self._objectives_by_name.get(key.objective)
            if objectives_by_name.get(key.objective) != before:
                del self._windows_by_key[key]
        self._objectives_by_name = objectives_by_name

    def record(self, seen: Observation) -> None:
        """Count one request."""
        for name, objective in self._objectives_by_name.items():
            good = OBJECTIVE_KINDS[objective.kind](seen, objective)
            if good is None:
                continue
            self._windows(SeriesKey(name, ALL, ALL)).add(seen.at, good)
            key = SeriesKey(name, seen.organisation, seen.model)
            self._windows(key).add(seen.at, good)

    def snapshot(self, now: float) -> Snapshot:
        """Return what was counted up to now."""
        return Snapshot(
            self._node,
            now,
            self._counted_since,
            self._objectives_by_name,
            tuple(
                SeriesTallies(key, windows.tallies(now))
                for key, windows in sorted(self._windows_by_key.items())
            ),
            {
                key.objective: windows.recent_points(now)
                for key, windows in self._windows_by_key.items()
                if key.organisation == ALL
            },
        )

    def _windows(self, key: SeriesKey) -> Windows:
        known = self._windows_by_key.get(key)
        if known is not None:
            return known
        if len(self._windows_by_key) >= MAX_SERIES and key.organisation != ALL:
            key = SeriesKey(key.objective, OTHERS, key.model)
        return self._windows_by_key.setdefault(key, Windows())
