"""Execution of the decisions that the state machine of a request makes."""

from __future__ import annotations

import math
from collections import deque
from contextlib import suppress
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
    FindOffers,
    FindReplacement,
    Finish,
    NotAdmitted,
    NotWritten,
    Offered,
    ProcessStopping,
    Refuse,
    ReplacementsOffered,
    RetryRules,
    Submit,
    WaitOn,
)
from agatehoist.core.registry import Registry
from agatehoist.core.units import MS_PER_S
from agatehoist.core.work import Run
from agatehoist.fleet.stream_gaps import Gap, StreamGaps, longer_gap
from agatehoist.gateway.allotments import charge, refund
from agatehoist.gateway.attempt import Attempt
from agatehoist.gateway.crash_evidence import (
    note_sent,
    quarantine_refusal,
    repeat_refusal,
)
from agatehoist.gateway.endpoint_choice import make_dispatch
from agatehoist.gateway.offer_search import OfferSearch
from agatehoist.gateway.request_traits import RequestTraits
from agatehoist.gateway.run_moves import move_if_needed
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.types import Reply
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    DROPPED_FRAMES_TOTAL,
    LONGEST_GAP_SECONDS,
    REQUEST_SECONDS,
    RETRIES_TOTAL,
    TTFT_SECONDS,
)
from agatehoist.protocol.node_reports import endpoint_key
from agatehoist.refusals.kinds import (
    EndpointFailed,
    NoEndpoint,
    OutcomeUnknown,
    internal_fault,
)
from agatehoist.refusals.types import Refusal
from agatehoist.routing.types import RouteKind
from agatehoist.software.stream_origin import StreamOrigin
from agatehoist.stopping.admission import late_refusal, output_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.attempts.types import Event
    from agatehoist.core.identity import AttemptId
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch, ReplyWriter
    from agatehoist.placement.types import Offer
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

# Events of attempts buffered while the caller reads slowly; each may hold several
# events of the stream.
MAX_BUFFERED_EVENTS = 16
# Endpoints that a request is sent to, including those that reject it.
MAX_DISPATCHES = 4
# Times that the list of endpoints to try is computed, without refreshes of an old list.
MAX_PLACEMENTS = 2

# A direct request is sent to its endpoint without a sidecar in between.
DECISION_HANDLERS: Registry[Callable[..., Any]] = Registry(
    "decision on a direct request"
)


class RequestDriver:
    """Run the state machine of one request: execute decisions, feed back events."""

    def __init__(
        self, state: GatewayState, request: RoutedRequest, writer: ReplyWriter
    ) -> None:
        self._state = state
        self._request = request
        self._traits = RequestTraits(request)
        self._writer = writer
        self._machine = RequestMachine(
            _rules(request),
            state.retry_budget(request.service),
            state.next_attempt_id,
            state.rng,
        )
        self._attempts_by_id: dict[AttemptId, Attempt] = {}
        # The endpoints between which the run moves or has moved.
        self._endpoints_of_move: dict[str, Endpoint] = {}
        self._search = OfferSearch(state, request)
        self._steps = self._search.steps
        self._origin = StreamOrigin(state, request, self._search)
        # The endpoints that have got this request, also to continue a moved run.
        self._asked_lifetimes: set[str] = set()
        # The attempts that were waited for despite a silence, with the reason.
        self._noted_waits: set[tuple[AttemptId, str]] = set()
        self._stream_started = False
        self._first_event_s = 0.0
        # Of the events as they were passed on, between endpoints too.
        self._passed_gaps = StreamGaps()
        # When the request was charged to the allotment of its organisation.
        self._charged_at: float | None = None
        self._outcome = "caller gone"
        # Why the request ends before its answer, if it does.
        self._interruption: CallerDisconnected | ProcessStopping | None = None
        # In event loop time, once the process stops.
        self._last_events_until = math.inf
        self._wait_scope = anyio.CancelScope()
        self._sender, self._events = anyio.create_memory_object_stream[Any](
            MAX_BUFFERED_EVENTS
        )

    def note_caller_disconnected(self) -> None:
        """Record that the caller has closed its connection."""
        self._interrupt(CallerDisconnected())

    def end_for_stop(self, last_events_until: float) -> None:
        """Give the caller its final answer now, as the process stops.

        What the sockets hold of an answer is passed on until an event loop time.
        """
        if self._interruption is None:
            self._last_events_until = last_events_until
            self._interrupt(ProcessStopping())

    def _interrupt(self, reason: CallerDisconnected | ProcessStopping) -> None:
        self._interruption = reason
        self._wait_scope.cancel()
        self._search.stop_waiting()

    def consider_move(self) -> None:
        """Move the run if its endpoint is about to stop serving it."""
        attempt = self._attempt
        if attempt is not None and self._stream_started and not self._machine.ended:
            destination = move_if_needed(
                self._state, self._request, attempt, self._machine.may_retry
            )
            if destination is not None:
                between = (attempt.dispatch.endpoint, destination)
                self._endpoints_of_move = {each.name: each for each in between}

    def withdraw_if_quarantined(self) -> None:
        """Take the request back from its endpoints or line if it is quarantined.

        A call that is neither idempotent nor cancellable runs to its end.
        """
        if self._stream_started or self._machine.ended:
            return
        if quarantine_refusal(self._state, self._traits) is None:
            return
        self._search.stop_waiting()
        if not self._machine.is_cancellable:
            return
        unknown = OutcomeUnknown.refuse("the request has been quarantined")
        for target in self._machine.running():
            attempt = self._attempts_by_id.get(target.attempt_id)
            if attempt is None:
                continue
            with suppress(anyio.WouldBlock):
                self._sender.send_nowait(
                    AttemptRefused(attempt.attempt_id, unknown.refusal)
                )
                attempt.cancel()

    @property
    def _attempt(self) -> Attempt | None:
        """Return the current attempt, or the last one if there is none."""
        target = self._machine.target
        current = target and self._attempts_by_id.get(target.attempt_id)
        return current or next(reversed(self._attempts_by_id.values()), None)

    async def run(self) -> None:
        """Process the request to its end."""
        with self._sender, self._events, self._state.active_requests.track(self):
            try:
                await self._carry_out_all()
            except Exception:
                logger.exception(
                    "request failed", request=self._request.envelope.request_id
                )
                await self._refuse_after_fault()
            finally:
                for attempt in self._attempts_by_id.values():
                    attempt.note_request_ended()
                if self._charged_at is not None and not self._machine.may_have_run:
                    refund(self._state, self._request, self._charged_at)
        self._record_end()

    async def _carry_out_all(self) -> None:
        pending = deque(self._machine.start(self._now()))
        while True:
            while pending:
                pending.extend(await self._carry_out(pending.popleft()))
            if self._machine.ended:
                return
            pending.extend(self._machine.handle(await self._next_event(), self._now()))

    async def _refuse_after_fault(self) -> None:
        """Give up the attempt as if the caller had gone, and answer."""
        for decision in self._machine.handle(CallerDisconnected(), self._now()):
            await self._carry_out(decision)
        run = Run.UNKNOWN if self._asked_lifetimes else Run.NO
        await self._carry_out(Refuse(internal_fault(run)))

    async def _carry_out(self, decision: Decision) -> tuple[Decision, ...]:
        try:
            event = await DECISION_HANDLERS[type(decision)](self, decision)
        except ConnectionFailedError as error:
            self._steps.append(f"caller lost: {error}")
            event = CallerDisconnected()
        if event is None:
            return ()
        return self._machine.handle(event, self._now())

    @DECISION_HANDLERS.register(FindOffers)
    async def _place(self, decision: FindOffers) -> Event:
        until = min(decision.at, self._request.deadline)
        with anyio.CancelScope() as self._wait_scope:
            await anyio.sleep(max(0, until - self._now()))
        if self._interruption is not None:
            return self._interruption
        if self._now() >= self._request.deadline:
            return DeadlinePassed()
        refusal = self._late_refusal() or self._quarantine_refusal()
        refusal = refusal or await self._choose_software() or await self._charge()
        if refusal is not None:
            return NotAdmitted(refusal)
        if self._interruption is not None:
            # The search has not begun, so the interruption has not ended its wait.
            return self._interruption
        found = await self._search.find(has_begun=bool(self._machine.pieces))
        if self._interruption is not None:
            return self._interruption
        if isinstance(found, Refusal):
            return NotAdmitted(found)
        late = self._late_refusal()
        return Offered(found) if late is None else NotAdmitted(late)

    async def _choose_software(self) -> Refusal | None:
        with anyio.CancelScope() as self._wait_scope:
            return await self._origin.choose()
        # The caller looks at the interruption.
        return None

    async def _charge(self) -> Refusal | None:
        """Charge the request to an allotment, once, before it is first sent."""
        if self._charged_at is not None:
            return None
        refusal = await charge(self._state, self._request)
        if refusal is None:
            self._charged_at = self._now()
        else:
            self._add_step(refusal.detail)
        return refusal

    def _late_refusal(self) -> Refusal | None:
        """Refuse a request that a stop would cut, if nothing may have run.

        Another process can serve it then.
        """
        if self._machine.may_have_run:
            return None
        stop = self._state.stop
        return late_refusal(self._request, stop.durations, stop.schedule, self._now())

    @DECISION_HANDLERS.register(FindReplacement)
    async def _find_replacement(self, decision: FindReplacement) -> None:
        offers: tuple[Offer, ...] = ()
        if self._quarantine_refusal() is None:
            has_begun = bool(self._machine.pieces)
            self._origin.choose_for_replacement()
            offers = await self._search.find_replacement(has_begun)
        event = ReplacementsOffered(decision.target.attempt_id, offers)
        # What the endpoint has sent meanwhile comes first; if it has filled the buffer,
        # it needs no replacement.
        with suppress(anyio.WouldBlock):
            self._sender.send_nowait(event)

    @DECISION_HANDLERS.register(WaitOn)
    async def _wait_on(self, decision: WaitOn) -> None:
        noted = (decision.target.attempt_id, decision.reason)
        if noted not in self._noted_waits:
            self._noted_waits.add(noted)
            self._add_step(f"{decision.target.host} silent, waiting: {decision.reason}")

    def _quarantine_refusal(self) -> Refusal | None:
        refusal = quarantine_refusal(self._state, self._traits)
        crash = self._attempt.suspected_crash if self._attempt is not None else None
        if refusal is None and crash is not None:
            refusal = repeat_refusal(self._state, self._traits, crash)
        return refusal

    @DECISION_HANDLERS.register(Submit)
    async def _submit(self, decision: Submit) -> Event | None:
        endpoint = self._state.fleet.by_name.get(decision.offer.candidate.host)
        attempt_id = decision.target.attempt_id
        if endpoint is None:
            return NotWritten(attempt_id, "the endpoint has gone")
        if self._search.software not in (None, endpoint.software):
            return NotWritten(attempt_id, f"{endpoint.name} has other software now")
        if (quarantined := self._quarantine_refusal()) is not None:
            if decision.replaced is not None:
                # The silent attempt may go on.
                return NotWritten(attempt_id, quarantined.detail)
            return AttemptRefused(attempt_id, quarantined)
        note_sent(self._state, self._traits)
        self._origin.note_sent(endpoint)
        if self._search.tried_lifetimes:
            RETRIES_TOTAL.inc({})
        last_event_id = self._request.envelope.last_event_id
        # The pieces are the stream events that earlier attempts have returned.
        if decision.pieces:
            last_event_id = decision.pieces[-1].event_id
        dispatch = make_dispatch(self._state, self._request, endpoint, last_event_id)
        dispatch = replace(dispatch, interruptible=self._is_interruptible())
        self._search.tried_lifetimes.append(endpoint.lifetime)
        if decision.replaced is not None:
            self._add_step(f"{decision.replaced.host} silent, trying another")
        self._record_step("sent", dispatch)
        is_replacement = decision.replaced is not None
        self._start_attempt(dispatch, attempt_id, len(decision.pieces), is_replacement)
        return None

    def _is_interruptible(self) -> bool:
        """Return whether the run may be stopped and resumed by another attempt."""
        return self._request.route.resumable and self._machine.may_retry

    def _add_step(self, step: str) -> None:
        at_ms = round((self._now() - self._request.envelope.received_at) * MS_PER_S)
        self._steps.append(f"{at_ms} ms: {step}")

    def _record_step(self, action: str, dispatch: Dispatch) -> None:
        endpoint = dispatch.endpoint
        prompt = self._request.envelope.prompt
        is_short = prompt is not None and prompt.is_short
        wait_s = self._state.load.wait_s(endpoint.lifetime, self._now(), is_short)
        wait_ms = round(wait_s * MS_PER_S)
        # The wait is the expected one; `cache` is followed by the KV cache salt.
        step = f"{action} to {endpoint.name}, wait {wait_ms} ms"
        key = endpoint_key(endpoint.lifetime)
        limit_per_s = self._state.statements.limit_per_s(key, self._now())
        if limit_per_s is not None:
            step += f", limit {limit_per_s}/s"
        if endpoint.software:
            step += f", software {endpoint.software}"
        if dispatch.weights_version:
            step += f", cache {dispatch.salt}{self._weights_age_text(dispatch)}"
        self._add_step(step)

    def _weights_age_text(self, dispatch: Dispatch) -> str:
        """Tell for how long the weights of an endpoint have been replaced, if so."""
        prompt, weights = self._request.envelope.prompt, self._state.weights
        version = dispatch.weights_version
        if prompt is None or version >= weights.target(prompt.model):
            return ""
        now = self._now()
        replaced_at = weights.outdated_since(prompt.model, version, now)
        if math.isinf(replaced_at):
            return ", weights replaced before the start"
        return f", weights replaced {now - replaced_at:.1f} s ago"

    def _start_attempt(
        self,
        dispatch: Dispatch,
        attempt_id: AttemptId,
        first_event_index: int,
        is_replacement: bool = False,
    ) -> None:
        lifetime = dispatch.endpoint.lifetime
        attempt = Attempt(
            self._state,
            self._request,
            self._traits,
            dispatch,
            attempt_id,
            first_event_index,
            self._sender.clone(),
            is_replacement,
            lifetime in self._asked_lifetimes,
        )
        # An order without an answer may be carried out late, on a run that goes on at
        # the same endpoint.
        attempt.unanswered_stops = max(
            (
                each.late_stops(is_continued=bool(dispatch.continued_run))
                for each in self._attempts_by_id.values()
                if each.dispatch.endpoint.lifetime == lifetime
            ),
            default=0,
        )
        attempt.may_be_stopped = attempt.unanswered_stops > 0
        self._attempts_by_id[attempt_id] = attempt
        self._asked_lifetimes.add(lifetime)
        self._state.spawn(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: Attempt) -> None:
        try:
            await attempt.run()
        except Exception:
            logger.exception(
                "attempt failed", request=self._request.envelope.request_id
            )
            fault = AttemptRefused(attempt.attempt_id, internal_fault(Run.UNKNOWN))
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self._sender.send(fault)

    @DECISION_HANDLERS.register(ContinueRun)
    async def _continue(self, decision: ContinueRun) -> Event | None:
        endpoint = self._state.fleet.by_name.get(decision.offer.candidate.host)
        if endpoint is None and not self._machine.may_retry:
            # Only the endpoints that have the run in memory can continue it.
            endpoint = self._endpoints_of_move.get(decision.offer.candidate.host)
        if endpoint is None:
            no_endpoint = NoEndpoint.refuse(
                "the endpoint of a moved run has gone"
            ).refusal
            return AttemptRefused(decision.target.attempt_id, no_endpoint)
        if self._attempt is not None:
            self._note_failed_move(self._attempt, decision.run_name)
            self._attempt.cancel()
        last_event_id = decision.pieces[-1].event_id
        # The copied KV cache is valid only for the weights that computed it. If the
        # endpoint has changed them, it rejects the expected version.
        version = int(decision.offer.identity.weights_version)
        dispatch = make_dispatch(
            self._state, self._request, endpoint, last_event_id, version
        )
        dispatch = replace(
            dispatch,
            continued_run=decision.run_name,
            interruptible=self._is_interruptible(),
        )
        self._record_step("moved", dispatch)
        self._start_attempt(dispatch, decision.target.attempt_id, len(decision.pieces))
        return None

    def _note_failed_move(self, attempt: Attempt, run_name: str) -> None:
        """Move no runs to an endpoint for a while that hasn't continued this one."""
        if attempt.dispatch.continued_run == run_name:
            self._state.active_requests.failed_copies.note_failure(
                attempt.dispatch.endpoint.name, self._now()
            )

    @DECISION_HANDLERS.register(CancelAttempt)
    async def _cancel(self, decision: CancelAttempt) -> None:
        attempt = self._attempts_by_id.get(decision.target.attempt_id)
        if attempt is None:
            return
        self._add_step(f"withdrawn from {decision.target.host}")
        attempt.cancel()
        if not self._machine.ended:
            attempt.note_replaced()

    @DECISION_HANDLERS.register(Drop)
    async def _drop(self, decision: Drop) -> None:
        """Count an event that is discarded, for example because it came too late."""
        DROPPED_FRAMES_TOTAL.inc({"fault": str(decision.fault)})

    @DECISION_HANDLERS.register(Deliver)
    async def _deliver(self, decision: Deliver) -> None:
        await self._start_stream()
        await self._writer.send(decision.pieces)
        if not all(each.is_comment for each in decision.pieces):
            self._passed_gaps.note(self._now())
        self.consider_move()

    @DECISION_HANDLERS.register(Finish)
    async def _finish(self, decision: Finish) -> None:
        if isinstance(decision.result, Reply):
            self._outcome = f"answered {decision.result.head.status}"
            self._learn_duration()
            await self._writer.reply(decision.result)
            return
        self._outcome = "streamed"
        await self._start_stream()
        self._learn_duration()
        await self._writer.finish()

    def _learn_duration(self) -> None:
        took_s = self._now() - self._request.envelope.received_at
        first_s = self._first_event_s if self._stream_started else took_s
        self._state.stop.durations.add(
            self._request.route.name,
            first_s,
            output_tokens(self._request),
            took_s - first_s,
        )

    @DECISION_HANDLERS.register(Refuse)
    async def _refuse(self, decision: Refuse) -> None:
        refusal = decision.refusal
        replies = (each.error_reply for each in self._attempts_by_id.values())
        error_reply = next((each for each in replies if each is not None), None)
        if error_reply is not None and refusal.code == EndpointFailed.code:
            # The endpoint's error reply has more detail than a refusal from here.
            self._outcome = f"answered {error_reply.head.status}"
            await self._writer.reply(error_reply)
            return
        self._outcome = f"refused {refusal.code}, run {refusal.run}"
        await self._writer.refuse(refusal)

    async def _start_stream(self) -> None:
        if self._stream_started:
            return
        self._stream_started = True
        ttft_s = self._now() - self._request.envelope.received_at
        self._first_event_s = ttft_s
        TTFT_SECONDS.observe({"route": self._request.route.name}, ttft_s)
        self._add_step("first event")
        assert self._attempt is not None
        assert self._attempt.stream_head is not None
        # What other versions write doesn't fit to the events that the caller has.
        endpoint = self._attempt.dispatch.endpoint
        self._search.software = endpoint.software
        self._origin.note_first_event(endpoint)
        await self._writer.start(self._attempt.stream_head)

    async def _next_event(self) -> Event:
        if self._interruption is not None:
            return await self._last_event(self._interruption)
        left_s = max(0, self._request.deadline - self._now())
        with anyio.move_on_after(left_s) as self._wait_scope:
            return self._noted(await self._events.receive())
        if self._interruption is not None:
            return await self._last_event(self._interruption)
        return DeadlinePassed()

    def _noted(self, event: Event) -> Event:
        if isinstance(event, AttemptRefused):
            self._steps.append(f"{event.refusal.code}: {event.refusal.detail}")
        elif isinstance(event, NotWritten):
            self._steps.append(event.detail)
        return event

    async def _last_event(
        self, interruption: CallerDisconnected | ProcessStopping
    ) -> Event:
        """Return what has arrived already, if the caller still reads."""
        if not isinstance(interruption, ProcessStopping):
            return interruption
        with suppress(anyio.WouldBlock):
            return self._noted(self._events.receive_nowait())
        if self._attempt is not None and self._attempt.has_unread_answer:
            left_s = self._last_events_until - anyio.current_time()
            with anyio.move_on_after(left_s):
                return self._noted(await self._events.receive())
        return interruption

    def _last_shared_part(self) -> str:
        prompt = self._request.envelope.prompt
        if prompt is None or not prompt.shared_parts:
            return ""
        return prompt.shared_parts[-1].part_id

    def _record_end(self) -> None:
        request = self._request
        took_s = self._now() - request.envelope.received_at
        labels = {"route": request.route.name, "outcome": self._outcome}
        REQUEST_SECONDS.observe(labels, took_s)
        logger.info(
            "request ended",
            request=request.envelope.request_id,
            route=request.route.name,
            service=request.service,
            prompt=self._last_shared_part(),
            configuration=request.table_version,
            # The request that began the stream, if the caller resumes one.
            resumes=request.envelope.resumed_request_id or "",
            fleet=str(self._state.fleet.revision),
            steps=self._steps,
            outcome=self._outcome,
            # Whether the endpoint had sent its whole answer.
            endpoint_done=self._attempt is not None and self._attempt.is_answer_whole,
            in_flight=self._state.in_flight.count,
            # Age of the configuration in force.
            table_age_s=round(self._now() - self._state.table_loaded_at, 1),
            took_ms=round(took_s * MS_PER_S),
            **self._gap_fields(),
        )

    def _gap_fields(self) -> dict[str, object]:
        """Return the longest gaps of a stream, as received and as passed on.

        They tell late events of an endpoint from those that were late here or in a
        move.
        """
        if not self._stream_started:
            return {}
        received, passed_on = Gap(), self._passed_gaps.longest
        for attempt in self._attempts_by_id.values():
            received = longer_gap(received, attempt.measurement.longest_gap)
        for stage, gap in (("received", received), ("passed_on", passed_on)):
            labels = {"route": self._request.route.name, "stage": stage}
            LONGEST_GAP_SECONDS.observe(labels, gap.gap_s)
        return {
            "gap_ms": round(received.gap_s * MS_PER_S),
            "passed_gap_ms": round(passed_on.gap_s * MS_PER_S),
            "gap_endpoint": received.endpoint,
            "gap_runs": received.work.runs,
            "gap_unread_tokens": received.work.unprocessed_tokens,
        }

    def _now(self) -> float:
        return self._state.clock.now()


def _rules(request: RoutedRequest) -> RetryRules:
    route = request.route
    # Two engines must not work on one prompt at the same time.
    is_call = route.kind is RouteKind.IDEMPOTENT and request.envelope.prompt is None
    return RetryRules(
        idempotent=route.repeatable,
        deadline=request.deadline,
        max_dispatches=MAX_DISPATCHES,
        max_runs=route.max_runs,
        max_offer_searches=MAX_PLACEMENTS,
        cancellable=request.envelope.prompt is not None,
        overlapping=is_call,
        # An answer goes on behind the id of its last event.
        keeps_pieces=False,
    )
