"""Slopes of the burn report."""

from __future__ import annotations

from agatehoist.core.work import Run
from agatehoist.reports.objectives import DEFAULT_OBJECTIVES_BY_NAME
from agatehoist.reports.recorder import MAX_SERIES, BurnRecorder
from agatehoist.reports.types import Observation
from bench.capacity.slopes import allocated_bytes, processor_us, slope

ORGANISATIONS = (8, 32, 64, 128)


@slope("router: burn report", "series", "bytes", ORGANISATIONS, MAX_SERIES // 4)
def burn_memory(organisations: int) -> float:
    """Return the memory of the counts for so many organisations."""
    return allocated_bytes(lambda: _fill(organisations))


@slope("router: counting a request", "series", "us", ORGANISATIONS, MAX_SERIES // 4)
def burn_record(organisations: int) -> float:
    """Return the processor time of counting one request."""
    recorder = _fill(organisations)
    seen = _observation(0)
    return processor_us(lambda: recorder.record(seen))


def _fill(organisations: int) -> BurnRecorder:
    recorder = BurnRecorder("router-0", DEFAULT_OBJECTIVES_BY_NAME, 0.0)
    for index in range(organisations):
        recorder.record(_observation(index))
    return recorder


def _observation(index: int) -> Observation:
    return Observation(
        f"organisation-{index}", "songs-8b", 100.0, True, Run.YES, 0.1, 0.01
    )
