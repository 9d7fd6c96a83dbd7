"""Times at which a stopping process ends its work."""

from __future__ import annotations

from dataclasses import dataclass

# The platform checks readiness once a second and stops routing to a process after two
# failures; callers routed before that may still send on the connections they hold.
IDLE_CLOSE_DELAY_S = 3.0
MAX_IDLE_CLOSE_SHARE = 0.4
# A caller that is refused after this time reaches another process. The rest of the time
# until idle connections are closed allows for a stop that begins late.
LAST_STREAM_DELAY_S = 2.5
MAX_LAST_STREAM_SHARE = 0.3
# The last replies are written and the process ends within these times; a short grace
# period leaves less.
ANSWER_MARGIN_S = 0.9
MAX_ANSWER_MARGIN_SHARE = 1 / 8
STOP_MARGIN_S = 0.7
MAX_STOP_MARGIN_SHARE = 1 / 12


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Hold the times of a stop, in epoch seconds.

    From `last_stream_at` on, no stream is taken that may be cut. From `closes_idle_at`
    on, idle connections are closed and no more are accepted. Requests that are still
    open at `answers_at` get their final answers, and what is open at `stops_at` is
    aborted.
    """

    last_stream_at: float
    closes_idle_at: float
    answers_at: float
    stops_at: float

    def stops_at_after(self, answered_at: float) -> float:
        """Return when a process stops that began its final answers at an epoch time.

        One that stood still until then gets half of their time, in the margin of the
        grace period.
        """
        answers_s = self.stops_at - self.answers_at
        late_stops_at = min(answered_at + answers_s / 2, self.stops_at + answers_s)
        return max(self.stops_at, late_stops_at)


def stop_schedule(began_at: float, grace_s: float) -> StopSchedule:
    """Return the times of a stop that began at an epoch time and must end in time."""
    ends_at = began_at + grace_s
    return StopSchedule(
        began_at + min(LAST_STREAM_DELAY_S, MAX_LAST_STREAM_SHARE * grace_s),
        began_at + min(IDLE_CLOSE_DELAY_S, MAX_IDLE_CLOSE_SHARE * grace_s),
        ends_at - min(ANSWER_MARGIN_S, MAX_ANSWER_MARGIN_SHARE * grace_s),
        ends_at - min(STOP_MARGIN_S, MAX_STOP_MARGIN_SHARE * grace_s),
    )
