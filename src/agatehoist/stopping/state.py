"""What a process keeps for the decisions of its stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.stopping.durations import UsualDurations

if TYPE_CHECKING:
    from agatehoist.stopping.schedule import StopSchedule


class StopState:
    """Hold the schedule of a stop that has begun, and the usual durations."""

    def __init__(self) -> None:
        self.schedule: StopSchedule | None = None
        self.durations = UsualDurations()
