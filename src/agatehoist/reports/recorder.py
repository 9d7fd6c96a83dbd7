"""Counters of requests by objective, organisation and model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.reports.objectives import OBJECTIVE_KINDS
from agatehoist.reports.types import SeriesKey, SeriesTallies, Snapshot
from agatehoist.reports.windows import WindowCounter

if TYPE_CHECKING:
    from agatehoist.reports.types import Objective, Observation

MAX_SERIES = 512
OTHERS_LABEL = "(others)"
ALL_LABEL = "(all)"


class BurnRecorder:
    """Count the requests that meet the objectives, in bounded memory.

    Once there are MAX_SERIES series, requests without a series of their own are counted
    together, in one series for each objective and model.
    """

    def __init__(
        self, node: str, objectives_by_name: dict[str, Objective], now: float
    ) -> None:
        self._node = node
        self._objectives_by_name = objectives_by_name
        self._counted_since = now
        self._counters_by_key: dict[SeriesKey, WindowCounter] = {}

    def set_objectives(self, objectives_by_name: dict[str, Objective]) -> None:
        """Replace the objectives; the counts of a changed objective start again."""
        for key in tuple(self._counters_by_key):
            before = self._objectives_by_name.get(key.objective)
            if objectives_by_name.get(key.objective) != before:
                del self._counters_by_key[key]
        self._objectives_by_name = objectives_by_name

    def record(self, observation: Observation) -> None:
        """Count one request for each objective."""
        for name, objective in self._objectives_by_name.items():
            good = OBJECTIVE_KINDS[objective.kind](observation, objective)
            if good is None:
                continue
            self._counter_of(SeriesKey(name, ALL_LABEL, ALL_LABEL)).add(
                observation.at, good
            )
            key = SeriesKey(name, observation.organisation, observation.model)
            self._counter_of(key).add(observation.at, good)

    def snapshot(self, now: float) -> Snapshot:
        """Return the counts of the windows that end now."""
        return Snapshot(
            self._node,
            now,
            self._counted_since,
            self._objectives_by_name,
            tuple(
                SeriesTallies(key, counter.tallies(now))
                for key, counter in sorted(self._counters_by_key.items())
            ),
            {
                key.objective: counter.recent_points(now)
                for key, counter in self._counters_by_key.items()
                if key.organisation == ALL_LABEL
            },
        )

    def _counter_of(self, key: SeriesKey) -> WindowCounter:
        existing = self._counters_by_key.get(key)
        if existing is not None:
            return existing
        if len(self._counters_by_key) >= MAX_SERIES and key.organisation != ALL_LABEL:
            key = SeriesKey(key.objective, OTHERS_LABEL, key.model)
        return self._counters_by_key.setdefault(key, WindowCounter())
