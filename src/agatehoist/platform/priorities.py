"""Priorities of runs on an engine, which also encode whether a run may be stopped."""

from __future__ import annotations

HIGHEST, LOWEST = 0, 4


def encode_priority(priority: int, interruptible: bool) -> int:
    """Return the engine priority of a run; the engine's report states it again."""
    bounded = min(max(priority, HIGHEST), LOWEST)
    return 2 * bounded + (0 if interruptible else 1)


def is_uninterruptible(engine_priority: int) -> bool:
    """Return whether a run with this priority can't be continued elsewhere."""
    return engine_priority % 2 == 1
