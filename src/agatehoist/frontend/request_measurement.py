"""Measurement of requests for the metrics and the burn report."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.core.work import Run
from agatehoist.observability.metrics import OUTCOMES_TOTAL, TTFT_SECONDS
from agatehoist.refusals import RequestRefusedError
from agatehoist.reports.types import Observation
from agatehoist.router.requests import Finished, Started

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.router.requests import Delta
    from agatehoist.router.state import RouterState


class RequestMeasurement:
    """Measure one request; `name` is the name of its model or service."""

    def __init__(self, state: RouterState, organisation: str, name: str) -> None:
        self._state = state
        self._organisation = organisation
        self._name = name
        self._started_at = state.clock.now()
        self._ttft: float | None = None
        self._token_gap: float | None = None

    def record_event(self, event: Started | Delta | Finished) -> None:
        """Record the time to first token or the mean token gap from an event."""
        elapsed = self._state.clock.now() - self._started_at
        if isinstance(event, Started):
            self._ttft = elapsed
            TTFT_SECONDS.add({"model": self._name}, elapsed)
        elif isinstance(event, Finished) and self._ttft is not None:
            gaps = max(1, event.completion_tokens - 1)
            self._token_gap = (elapsed - self._ttft) / gaps

    def record_outcome(self, whole: bool, run: Run) -> None:
        """Count the request and record its observation for the burn report."""
        OUTCOMES_TOTAL.inc({"outcome": "whole" if whole else "broken"})
        observation = Observation(
            self._organisation,
            self._name,
            self._state.clock.now(),
            whole,
            run,
            self._ttft,
            self._token_gap,
        )
        self._state.burn.record(observation)


@contextmanager
def measure_request(
    state: RouterState, organisation: str, name: str
) -> Iterator[RequestMeasurement]:
    """Measure a request while the context lasts.

    A request whose caller disconnected counts neither as good nor as bad.
    """
    measurement = RequestMeasurement(state, organisation, name)
    try:
        yield measurement
    except RequestRefusedError as error:
        measurement.record_outcome(False, error.refusal.run)
        raise
    except Exception:
        measurement.record_outcome(False, Run.UNKNOWN)
        raise
    except BaseException:
        OUTCOMES_TOTAL.inc({"outcome": "left"})
        raise
    else:
        measurement.record_outcome(True, Run.YES)
