"""Priorities of runs on an engine.

They also encode whether a run may be stopped and continued on another endpoint.
"""

from __future__ import annotations

HIGHEST, LOWEST = 0, 4


def encode_priority(priority: int, interruptible: bool) -> int:
    """Return the engine priority of a run, which the engine repeats in its report."""
    bounded = min(max(priority, HIGHEST), LOWEST)
    return 2 * bounded + (0 if interruptible else 1)


def is_uninterruptible(engine_priority: int) -> bool:
    """Return whether a run with this priority must not be stopped.

    Such a run can't be continued on another endpoint.
    """
    return engine_priority % 2 == 1
