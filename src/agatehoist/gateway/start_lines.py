"""Waiting of requests with a prompt until an endpoint has room for them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from agatehoist.admission.line import Line, StartRequest, has_room
from agatehoist.core.wakeup import Wakeup
from agatehoist.fleet.load import DEFAULT_PREFILL_TOKENS_PER_S
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from agatehoist.core.clock import Clock
    from agatehoist.core.identity import AttemptId
    from agatehoist.refusals.types import Refusal

logger = get_logger("gateway")

# Peers' reports expire without a notification, so the lines are checked this often.
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Ticket:
    """Hold a request that asks to start, with what tells whether it may.

    `least_wait_s` returns the least expected wait at an endpoint that it may be sent
    to.
    """

    request: StartRequest
    least_wait_s: Callable[[], float]
    started: anyio.Event = field(default_factory=anyio.Event)


class StartLines:
    """Hold one line for each service and start the first request that has room."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines_by_service: dict[str, Line] = {}
        self._tickets_by_id: dict[AttemptId, Ticket] = {}
        # Requests that may start but aren't counted in the load of an endpoint yet.
        self._starting_by_service: dict[str, Ticket] = {}
        self._wakeup = Wakeup()

    def note_load_changed(self) -> None:
        """Look at the waiting requests again soon."""
        if self._tickets_by_id:
            self._wakeup.set()

    def may_start_now(self, service: str, ticket: Ticket) -> bool:
        """Return whether a new request may start without waiting in line."""
        line = self._lines_by_service.get(service)
        return not line and self._has_room(ticket)

    async def wait(self, service: str, ticket: Ticket) -> Refusal | None:
        """Wait until the request may start; return a refusal if it can't in time.

        After None the caller of this method sends the request without suspending, so
        that the load of its endpoint is known before the next request starts.
        """
        line = self._lines_by_service.setdefault(
            service, Line(DEFAULT_PREFILL_TOKENS_PER_S)
        )
        if not line.is_full:
            await self._wait_in(line, service, ticket)
        if ticket.started.is_set():
            return None
        now = self._clock.now()
        return line.refuse(ticket.request, now, now + ticket.least_wait_s())

    async def _wait_in(self, line: Line, service: str, ticket: Ticket) -> None:
        job = ticket.request.job
        now = self._clock.now()
        line.join(ticket.request, now)
        self._tickets_by_id[job.attempt_id] = ticket
        self._wakeup.set()
        try:
            with anyio.move_on_after(job.deadline - now):
                await ticket.started.wait()
        finally:
            del self._tickets_by_id[job.attempt_id]
            line.leave(job.attempt_id)
            if self._starting_by_service.get(service) is ticket:
                del self._starting_by_service[service]
            self._wakeup.set()

    def _has_room(self, ticket: Ticket) -> bool:
        return has_room(ticket.request, ticket.least_wait_s(), self._clock.now())

    async def run(self) -> None:
        """Start waiting requests as endpoints get room, until cancelled."""
        while True:
            await self._wakeup.wait(
                POLL_INTERVAL_S if self._tickets_by_id else math.inf
            )
            for service, line in self._lines_by_service.items():
                self._start_first(service, line)

    def _start_first(self, service: str, line: Line) -> None:
        if service in self._starting_by_service:
            return
        now = self._clock.now()
        request = line.first(now)
        if request is None:
            return
        ticket = self._tickets_by_id[request.job.attempt_id]
        if self._may_leave(service, ticket):
            line.start_first(now)
            self._starting_by_service[service] = ticket
            ticket.started.set()

    def _may_leave(self, service: str, ticket: Ticket) -> bool:
        try:
            return self._has_room(ticket)
        except Exception:
            # The request meets the error itself when it starts; the others must not.
            logger.exception("room not computed", service=service)
            return True
