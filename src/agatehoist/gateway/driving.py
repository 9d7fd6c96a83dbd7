"""Runtime around the decisions on one request."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.attempts.machine import RequestMachine
from agatehoist.attempts.types import (
    AttemptRefused,
    CallerDisconnected,
    CancelAttempt,
    ContinueRun,
    DeadlinePassed,
    Decision,
    Deliver,
    Drop,
    Finish,
    NotWritten,
    Offered,
    Place,
    Refuse,
    RetryRules,
    Submit,
)
from agatehoist.core.registry import Registry
from agatehoist.core.units import MS_PER_S
from agatehoist.gateway.attempting import Attempt
from agatehoist.gateway.choosing import find_offers, make_dispatch
from agatehoist.gateway.moving import move_if_needed
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.types import Reply
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    DROPPED_FRAMES_TOTAL,
    REQUEST_SECONDS,
    RETRIES_TOTAL,
    TTFT_SECONDS,
)
from agatehoist.refusals.kinds import EndpointFailed, NoEndpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.attempts.types import Event
    from agatehoist.core.identity import AttemptId
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Caller, Dispatch
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

# Events of an answer that wait for a caller who reads slowly.
MAX_EVENTS_WAITING = 16
# Endpoints that one request is offered to, those that reject it included.
MAX_DISPATCHES = 4
MAX_PLACEMENTS = 2

PERFORMERS: Registry[Callable[..., Any]] = Registry("decision on a direct request")


class DirectDriver:
    """Carry out the decisions on one request and feed back what happens."""

    def __init__(
        self, state: GatewayState, request: RoutedRequest, caller: Caller
    ) -> None:
        self._state = state
        self._request = request
        self._caller = caller
        self._machine = RequestMachine(
            _rules(request),
            state.budget(request.service),
            state.next_attempt_id,
            state.rng,
        )
        self._attempt: Attempt | None = None
        self._tried: list[str] = []
        self._steps: list[str] = []
        self._started = False
        self._outcome = "caller gone"
        self._gone = False
        self._waiting = anyio.CancelScope()
        self._sender, self._events = anyio.create_memory_object_stream[Any](
            MAX_EVENTS_WAITING
        )

    def caller_gone(self) -> None:
        """Note that the caller has closed its connection."""
        self._gone = True
        self._waiting.cancel()

    def consider_move(self) -> None:
        """Move the run if its endpoint is about to stop serving it."""
        attempt = self._attempt
        if attempt is not None and self._started and not self._machine.ended:
            move_if_needed(self._state, self._request, attempt)

    async def run(self) -> None:
        """Answer the caller."""
        with self._sender, self._events, self._state.drivers.track(self):
            pending = deque(self._machine.start(self._now()))
            while True:
                while pending:
                    pending.extend(await self._perform(pending.popleft()))
                if self._machine.ended:
                    break
                pending.extend(self._machine.handle(await self._next(), self._now()))
        self._log()

    async def _perform(self, decision: Decision) -> tuple[Decision, ...]:
        try:
            event = await PERFORMERS[type(decision)](self, decision)
        except ConnectionFailedError as error:
            self._steps.append(f"caller lost: {error}")
            event = CallerDisconnected()
        if event is None:
            return ()
        return self._machine.handle(event, self._now())

    @PERFORMERS.register(Place)
    async def _place(self, decision: Place) -> Event:
        until = min(decision.at, self._request.deadline)
        await anyio.sleep(max(0, until - self._now()))
        if self._gone:
            return CallerDisconnected()
        if self._now() >= self._request.deadline:
            return DeadlinePassed()
        offers = find_offers(self._state, self._request, frozenset(self._tried))
        return Offered(offers)

    @PERFORMERS.register(Submit)
    async def _submit(self, decision: Submit) -> Event | None:
        endpoint = self._state.fleet.by_name.get(decision.offer.candidate.host)
        attempt_id = decision.target.attempt_id
        if endpoint is None:
            return NotWritten(attempt_id, "the endpoint has gone")
        if self._tried:
            RETRIES_TOTAL.inc({})
        last_event_id = self._request.envelope.last_event_id
        if decision.pieces:
            last_event_id = decision.pieces[-1].event_id
        dispatch = make_dispatch(self._state, self._request, endpoint, last_event_id)
        self._tried.append(endpoint.lifetime)
        self._note_dispatch("sent", dispatch)
        self._begin(dispatch, attempt_id, len(decision.pieces))
        return None

    def _note_dispatch(self, action: str, dispatch: Dispatch) -> None:
        at_ms = round((self._now() - self._request.envelope.received_at) * MS_PER_S)
        endpoint = dispatch.endpoint
        wait_ms = round(
            self._state.load.wait_s(endpoint.lifetime, self._now()) * MS_PER_S
        )
        step = f"{at_ms} ms: {action} to {endpoint.name}, wait {wait_ms} ms"
        if dispatch.weights_version:
            step += f", cache {dispatch.salt}"
        self._steps.append(step)

    def _begin(self, dispatch: Dispatch, attempt_id: AttemptId, first: int) -> None:
        self._attempt = Attempt(
            self._state,
            self._request,
            dispatch,
            attempt_id,
            first,
            self._sender.clone(),
        )
        self._state.spawn(self._attempt.run)

    @PERFORMERS.register(ContinueRun)
    async def _continue(self, decision: ContinueRun) -> Event | None:
        endpoint = self._state.fleet.by_name.get(decision.offer.candidate.host)
        if endpoint is None:
            gone = NoEndpoint.refuse("the endpoint of a moved run has gone").refusal
            return AttemptRefused(decision.target.attempt_id, gone)
        if self._attempt is not None:
            self._attempt.cancel()
        last_event_id = decision.pieces[-1].event_id
        dispatch = make_dispatch(self._state, self._request, endpoint, last_event_id)
        dispatch = replace(dispatch, continued_run=decision.run_name)
        self._note_dispatch("moved", dispatch)
        self._begin(dispatch, decision.target.attempt_id, len(decision.pieces))
        return None

    @PERFORMERS.register(CancelAttempt)
    async def _cancel(self, _decision: CancelAttempt) -> None:
        assert self._attempt is not None
        self._attempt.cancel()

    @PERFORMERS.register(Drop)
    async def _drop(self, decision: Drop) -> None:
        DROPPED_FRAMES_TOTAL.inc({"fault": str(decision.fault)})

    @PERFORMERS.register(Deliver)
    async def _deliver(self, decision: Deliver) -> None:
        await self._start()
        await self._caller.send(decision.pieces)
        self.consider_move()

    @PERFORMERS.register(Finish)
    async def _finish(self, decision: Finish) -> None:
        if isinstance(decision.result, Reply):
            self._outcome = f"answered {decision.result.head.status}"
            await self._caller.reply(decision.result)
            return
        self._outcome = "streamed"
        await self._start()
        await self._caller.finish()

    @PERFORMERS.register(Refuse)
    async def _refuse(self, decision: Refuse) -> None:
        refusal = decision.refusal
        failure = self._attempt.failure if self._attempt else None
        if failure is not None and refusal.code == EndpointFailed.code:
            # The endpoint's own failure says more than one made here.
            self._outcome = f"answered {failure.head.status}"
            await self._caller.reply(failure)
            return
        self._outcome = f"refused {refusal.code}, run {refusal.run}"
        await self._caller.refuse(refusal)

    async def _start(self) -> None:
        if self._started:
            return
        self._started = True
        first_s = self._now() - self._request.envelope.received_at
        TTFT_SECONDS.observe({"route": self._request.route.name}, first_s)
        assert self._attempt is not None
        assert self._attempt.head is not None
        await self._caller.start(self._attempt.head)

    async def _next(self) -> Event:
        if self._gone:
            return CallerDisconnected()
        left_s = max(0, self._request.deadline - self._now())
        with anyio.move_on_after(left_s) as self._waiting:
            event: Event = await self._events.receive()
            if isinstance(event, AttemptRefused):
                self._steps.append(f"{event.refusal.code}: {event.refusal.detail}")
            elif isinstance(event, NotWritten):
                self._steps.append(event.detail)
            return event
        return CallerDisconnected() if self._gone else DeadlinePassed()

    def _prompt_name(self) -> str:
        prompt = self._request.envelope.prompt
        if prompt is None or not prompt.shared_parts:
            return ""
        return prompt.shared_parts[-1].part_id

    def _log(self) -> None:
        request = self._request
        took_s = self._now() - request.envelope.received_at
        labels = {"route": request.route.name, "outcome": self._outcome}
        REQUEST_SECONDS.observe(labels, took_s)
        logger.info(
            "request ended",
            request=request.envelope.request_id,
            route=request.route.name,
            service=request.service,
            prompt=self._prompt_name(),
            configuration=request.table_version,
            fleet=self._state.fleet.revision,
            steps=self._steps,
            outcome=self._outcome,
            in_flight=self._state.in_flight.count,
            table_age_s=round(self._now() - self._state.table_at, 1),
            took_ms=round(took_s * MS_PER_S),
        )

    def _now(self) -> float:
        return self._state.clock.now()


def _rules(request: RoutedRequest) -> RetryRules:
    route = request.route
    return RetryRules(
        idempotent=route.repeatable,
        deadline=request.deadline,
        max_dispatches=MAX_DISPATCHES,
        max_runs=route.max_runs,
        max_placements=MAX_PLACEMENTS,
        cancellable=request.envelope.prompt is not None,
    )
