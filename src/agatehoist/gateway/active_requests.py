"""Requests in progress in this process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Protocol

from agatehoist.attempts.suspicion import SuspicionTable

if TYPE_CHECKING:
    from collections.abc import Iterator


class ActiveRequest(Protocol):
    """Describe a request in progress that its process may move, withdraw or end."""

    def consider_move(self) -> None:
        """Move the run if its endpoint is about to stop serving it."""

    def withdraw_if_quarantined(self) -> None:
        """Take the request back from its endpoint if it is quarantined."""

    def end_for_stop(self, last_events_until: float) -> None:
        """Give the caller its final answer now, as the process stops."""


class ActiveRequests:
    """Hold the requests to notify of changes in the fleet and of a stop.

    `GatewayState.in_flight` also counts requests that are refused without being sent.
    """

    def __init__(self) -> None:
        self._requests: set[ActiveRequest] = set()
        # Endpoints to which runs couldn't be copied, or that didn't continue them.
        self.failed_copies = SuspicionTable()

    @contextmanager
    def track(self, request: ActiveRequest) -> Iterator[None]:
        """Notify a request of changes while the context lasts."""
        self._requests.add(request)
        try:
            yield
        finally:
            self._requests.discard(request)

    def consider_moves(self) -> None:
        """Move each run whose endpoint is about to stop serving it."""
        for request in tuple(self._requests):
            request.consider_move()

    def end_for_stop(self, last_events_until: float) -> None:
        """End each request with a final answer that says whether it has run.

        Answers that have arrived are passed on until an event loop time.
        """
        for request in tuple(self._requests):
            request.end_for_stop(last_events_until)

    def withdraw_quarantined(self) -> None:
        """Take back unanswered requests that have just been quarantined."""
        for request in tuple(self._requests):
            request.withdraw_if_quarantined()
