"""Types of the burn report."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.work import Run


@dataclass(frozen=True, slots=True)
class Objective:
    """Require that a share of the requests is good; the threshold is in seconds."""

    kind: str
    target: float
    threshold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Observation:
    """Describe the outcome of one request.

    ``at`` is its end in epoch seconds, ``ttft`` the time to first token and
    ``token_gap`` the mean time between tokens in seconds; ``whole`` tells whether the
    answer was complete.
    """

    organisation: str
    model: str
    at: float
    whole: bool
    run: Run
    ttft: float | None = None
    token_gap: float | None = None


@dataclass(frozen=True, slots=True, order=True)
class SeriesKey:
    """Identify the requests that are counted together."""

    objective: str
    organisation: str
    model: str


@dataclass(frozen=True, slots=True)
class Tally:
    """Hold the numbers of good and of all requests."""

    good: int = 0
    total: int = 0

    def __add__(self, other: Tally) -> Tally:
        return Tally(self.good + other.good, self.total + other.total)

    @property
    def bad(self) -> int:
        """Return the number of bad requests."""
        return self.total - self.good

    @property
    def bad_share(self) -> float:
        """Return the share of bad requests."""
        return self.bad / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class Point:
    """Hold the tally of one time slot; its end is in epoch seconds."""

    ended_at: float
    tally: Tally


@dataclass(frozen=True, slots=True)
class SeriesTallies:
    """Hold the tallies of a series by window name."""

    key: SeriesKey
    tallies_by_window: dict[str, Tally]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the counts of one router."""

    node: str
    taken_at: float
    counted_since: float
    objectives_by_name: dict[str, Objective]
    series: tuple[SeriesTallies, ...]
    points_by_objective: dict[str, tuple[Point, ...]]
