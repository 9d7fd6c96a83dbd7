"""Burn rates and consumption of error budgets."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.reports.types import Objective, Point, SeriesKey, Tally
from agatehoist.reports.windows import WINDOWS_S_BY_NAME

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.reports.types import Snapshot

BUDGET_WINDOW = "3d"
MIN_BAD_REQUESTS = 3


class Alert(enum.StrEnum):
    """Tell how urgently operators must respond to a burn rate."""

    NONE = "ok"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Raise an alert when the burn rates over both windows exceed the rate."""

    alert: Alert
    long_window: str
    short_window: str
    rate: float


# Held for the long window, the rates spend 20%, 50% and 100% of the budget for 3 days.
ALERT_RULES = (
    AlertRule(Alert.PAGE, "1h", "5m", 14.4),
    AlertRule(Alert.PAGE, "6h", "30m", 6.0),
    AlertRule(Alert.TICKET, "3d", "6h", 1.0),
)


@dataclass(frozen=True, slots=True)
class BurnLine:
    """Hold the burn rates of one objective, organisation and model."""

    key: SeriesKey
    objective: Objective
    tallies_by_window: dict[str, Tally]
    rates_by_window: dict[str, float]
    budget_spent: float
    alert: Alert


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Hold the burn rates of all objectives."""

    taken_at: float
    counted_since: float
    nodes: tuple[str, ...]
    lines: tuple[BurnLine, ...]
    points_by_objective: dict[str, tuple[Point, ...]]


def make_report(snapshots: Iterable[Snapshot]) -> BurnReport:
    """Return the burn report on the sum of the routers' snapshots.

    Raises ValueError without snapshots.
    """
    collected = tuple(snapshots)
    if not collected:
        raise ValueError("no snapshot to report on")
    objectives_by_name = {
        name: objective
        for snapshot in collected
        for name, objective in snapshot.objectives_by_name.items()
    }
    tallies_by_key = _merge_tallies(collected)
    return BurnReport(
        max(snapshot.taken_at for snapshot in collected),
        min(snapshot.counted_since for snapshot in collected),
        tuple(sorted(snapshot.node for snapshot in collected)),
        tuple(
            _burn_line(key, objectives_by_name[key.objective], tallies)
            for key, tallies in sorted(tallies_by_key.items())
        ),
        _merge_points(collected),
    )


def burn_rate(tally: Tally, target: float) -> float:
    """Return the spending rate of the budget as a multiple of the allowed rate."""
    return tally.bad_share / (1 - target) if target < 1 else 0.0


def _burn_line(
    key: SeriesKey, objective: Objective, tallies_by_window: dict[str, Tally]
) -> BurnLine:
    rates_by_window = {
        name: burn_rate(tally, objective.target)
        for name, tally in tallies_by_window.items()
    }
    # Over the window of the budget, the burn rate equals the share that was spent.
    return BurnLine(
        key,
        objective,
        tallies_by_window,
        rates_by_window,
        rates_by_window[BUDGET_WINDOW],
        _alert_for(rates_by_window, tallies_by_window),
    )


def _alert_for(
    rates_by_window: dict[str, float], tallies_by_window: dict[str, Tally]
) -> Alert:
    for rule in ALERT_RULES:
        # Otherwise a single bad request among few would page an operator.
        if tallies_by_window[rule.long_window].bad < MIN_BAD_REQUESTS:
            continue
        long_rate = rates_by_window[rule.long_window]
        short_rate = rates_by_window[rule.short_window]
        if min(long_rate, short_rate) > rule.rate:
            return rule.alert
    return Alert.NONE


def _merge_tallies(
    snapshots: tuple[Snapshot, ...],
) -> dict[SeriesKey, dict[str, Tally]]:
    merged: dict[SeriesKey, dict[str, Tally]] = {}
    for snapshot in snapshots:
        for series in snapshot.series:
            sums = merged.setdefault(
                series.key, dict.fromkeys(WINDOWS_S_BY_NAME, Tally())
            )
            for name, tally in series.tallies_by_window.items():
                sums[name] += tally
    return merged


def _merge_points(snapshots: tuple[Snapshot, ...]) -> dict[str, tuple[Point, ...]]:
    merged: dict[str, dict[float, Tally]] = {}
    for snapshot in snapshots:
        for objective, points in snapshot.points_by_objective.items():
            sums = merged.setdefault(objective, {})
            for point in points:
                before = sums.get(point.ended_at, Tally())
                sums[point.ended_at] = before + point.tally
    return {
        objective: tuple(Point(at, sums[at]) for at in sorted(sums))
        for objective, sums in merged.items()
    }
