"""Measurement of requests for the metrics and the report on error budgets."""

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
        self._ttft_s: float | None = None
        self._token_gap_s: float | None = None

    def record_event(self, event: Started | Delta | Finished) -> None:
        """Record the time to first token or the mean token gap from an event.

        Started marks the first output; that of a resumed completion is the first token
        from the resume point on.
        """
        elapsed = self._state.clock.now() - self._started_at
        if isinstance(event, Started):
            self._ttft_s = elapsed
            TTFT_SECONDS.add({"model": self._name}, elapsed)
        elif isinstance(event, Finished) and self._ttft_s is not None:
            gaps = max(1, event.completion_tokens - 1)
            self._token_gap_s = (elapsed - self._ttft_s) / gaps

    def record_outcome(self, is_answered: bool, run: Run) -> None:
        """Count the request and record its observation for the report.

        `is_answered` is false after a refusal or an internal error; `run` tells whether
        the request ran.
        """
        OUTCOMES_TOTAL.inc({"outcome": "whole" if is_answered else "broken"})
        observation = Observation(
            self._organisation,
            self._name,
            self._state.clock.now(),
            is_answered,
            run,
            self._ttft_s,
            self._token_gap_s,
        )
        self._state.burn.record(observation)


@contextmanager
def measure_request(
    state: RouterState, organisation: str, name: str
) -> Iterator[RequestMeasurement]:
    """Measure a request while the context lasts.

    A request whose caller disconnected is counted as left and isn't observed, so it
    counts neither as good nor as bad.
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
