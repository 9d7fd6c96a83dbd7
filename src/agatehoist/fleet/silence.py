"""Silence of endpoints towards all requests that wait for them."""

from __future__ import annotations

from dataclasses import dataclass

# A sound endpoint may send nothing for a second or so and then go on.
TOLERATED_SILENCE_S = 1.5
# An endpoint is silent until this time after the last wait for it.
REPORTED_WITHIN_S = 0.6
# Waits longer ago than this show nothing any more.
RETENTION_S = 30.0
# Beyond this number, the silence that was reported longest ago is forgotten.
MAX_ENDPOINTS = 4096


# Estimates of the work at an endpoint are off by a factor of up to this.
WORK_MARGIN = 1.5


def is_wait_explained(waited_s: float, expected_s: float) -> bool:
    """Return whether the work at an endpoint explains a wait for a first event.

    It answers loads in which endpoints are full: a long wait there isn't a failure.
    """
    return waited_s <= WORK_MARGIN * expected_s + TOLERATED_SILENCE_S


@dataclass(frozen=True, slots=True)
class Silence:
    """Hold the time that requests have waited in vain, up to an epoch time."""

    waited_s: float
    reported_at: float


class Silences:
    """Add up the times in which requests wait for an endpoint and none gets any data.

    Times in which several requests wait count once, those in which none does don't.
    """

    def __init__(self) -> None:
        self._silences_by_lifetime: dict[str, Silence] = {}

    def note_wait(self, lifetime: str, began_at: float, now: float) -> float:
        """Record that a request has waited since an epoch time; return the sum in s."""
        known = self._silences_by_lifetime.pop(lifetime, None)
        waited_s = 0.0
        if known is not None and now <= known.reported_at + RETENTION_S:
            waited_s = known.waited_s
            began_at = max(began_at, known.reported_at)
        waited_s += max(0.0, now - began_at)
        self._silences_by_lifetime[lifetime] = Silence(waited_s, now)
        while len(self._silences_by_lifetime) > MAX_ENDPOINTS:
            del self._silences_by_lifetime[next(iter(self._silences_by_lifetime))]
        return waited_s

    def note_data(self, lifetime: str) -> None:
        """End the silence of an endpoint that has sent data."""
        self._silences_by_lifetime.pop(lifetime, None)

    def is_silent(self, lifetime: str, now: float) -> bool:
        """Return whether a request has just waited in vain for an endpoint."""
        silence = self._silences_by_lifetime.get(lifetime)
        return silence is not None and now <= silence.reported_at + REPORTED_WITHIN_S
