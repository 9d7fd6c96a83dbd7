"""Priorities of runs on an engine, which also tell those that can't be cut."""

from __future__ import annotations

HIGHEST, LOWEST = 0, 4


def encode(priority: int, cuttable: bool) -> int:
    """Return an engine's priority; an engine reports it for each of its runs."""
    bounded = min(max(priority, HIGHEST), LOWEST)
    return 2 * bounded + (0 if cuttable else 1)


def is_uncuttable(engine_priority: int) -> bool:
    """Say whether a run with this priority can't be gone on with elsewhere."""
    return engine_priority % 2 == 1
