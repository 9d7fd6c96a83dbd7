"""Slopes of the counters behind the burn report of the objectives."""

from __future__ import annotations

from agatehoist.core.work import Run
from agatehoist.reports.objectives import DEFAULT_OBJECTIVES_BY_NAME
from agatehoist.reports.recorder import MAX_SERIES, BurnRecorder
from agatehoist.reports.types import Observation
from bench.capacity.slopes import allocated_bytes, processor_us, slope

# Each organisation has a series for each of the four default objectives, so the target
# is a quarter of MAX_SERIES.
ORGANISATION_COUNTS = (8, 32, 64, 128)


@slope("router: burn report", "series", "bytes", ORGANISATION_COUNTS, MAX_SERIES // 4)
def recorder_bytes(organisations: int) -> float:
    """Return the memory of the counters of so many organisations."""
    return allocated_bytes(lambda: _make_recorder(organisations))


@slope(
    "router: counting a request", "series", "us", ORGANISATION_COUNTS, MAX_SERIES // 4
)
def record_us(organisations: int) -> float:
    """Return the processor time of counting one request."""
    recorder = _make_recorder(organisations)
    observation = _make_observation(0)
    return processor_us(lambda: recorder.record(observation))


def _make_recorder(organisations: int) -> BurnRecorder:
    recorder = BurnRecorder("router-0", DEFAULT_OBJECTIVES_BY_NAME, 0.0)
    for index in range(organisations):
        recorder.record(_make_observation(index))
    return recorder


def _make_observation(index: int) -> Observation:
    return Observation(
        f"organisation-{index}", "songs-8b", 100.0, True, Run.YES, 0.1, 0.01
    )
