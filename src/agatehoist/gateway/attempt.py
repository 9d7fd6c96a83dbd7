"""One attempt at a request: the exchange with one endpoint."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.admission.line import RETRY_SHARE
from agatehoist.attempts.types import (
    AttemptRefused,
    Ending,
    EndpointSilent,
    NotWritten,
    PiecesArrived,
    ReplyArrived,
    StreamEnded,
    Written,
)
from agatehoist.core.byte_budget import ByteBudgetExceededError
from agatehoist.fleet.silence import TOLERATED_SILENCE_S
from agatehoist.gateway.crash_evidence import (
    note_answer_begun,
    note_answer_ended,
    suspected_crash,
)
from agatehoist.gateway.crashes import check_crash
from agatehoist.gateway.endpoint_calls import MOVE_TIMEOUT_S
from agatehoist.gateway.endpoint_choice import latest_start, urgency
from agatehoist.gateway.endpoint_permits import earliest_start
from agatehoist.gateway.endpoint_statements import note_statement
from agatehoist.gateway.engine_measurement import EngineMeasurement
from agatehoist.gateway.prompt_cache import note_prompt_read
from agatehoist.gateway.spill import note_answered
from agatehoist.http1.errors import (
    ConnectionFailedError,
    InvalidReplyError,
    ReplyEvictedError,
)
from agatehoist.http1.event_stream import EventSplitter
from agatehoist.http1.types import Reply
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    EVICTED_REPLIES_TOTAL,
    EXPLAINED_FAILURES_TOTAL,
    UNEXPECTED_WEIGHTS_TOTAL,
    WITHDRAWN_FOR_WEIGHTS_TOTAL,
)
from agatehoist.refusals.kinds import (
    EndpointFailed,
    InternalFault,
    NotStarted,
    OutcomeUnknown,
)
from agatehoist.routing.types import RouteKind

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from agatehoist.attempts.types import Event
    from agatehoist.core.byte_budget import BufferUsage
    from agatehoist.core.identity import AttemptId
    from agatehoist.gateway.request_traits import RequestTraits
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch
    from agatehoist.http1.client import ClientConnection
    from agatehoist.http1.types import ReplyHead
    from agatehoist.quarantine.types import Crash
    from agatehoist.refusals.types import RequestRefusedError
    from agatehoist.routing.types import Route, RoutedRequest

logger = get_logger("gateway")

MAX_REPLY_BYTES = 8 * 1024 * 1024
# Endpoints answer so before they run a request.
NOT_RUN = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
# Replies to earlier requests that are skipped while reading from a reused connection.
MAX_STALE_REPLIES = 2
# If no other endpoint takes a rejected request, the caller may retry after this delay.
REJECTED_RETRY_DELAY_S = 0.25
# A request sent on a reused connection to an endpoint that has vanished may have run,
# so an endpoint that has been silent for longer gets a new connection.
MAX_SILENCE_FOR_REUSE_S = 0.4
# A move asks for a permit, copies the run and stops it; one without an outcome by this
# time has failed.
MAX_MOVE_S = 2 * MOVE_TIMEOUT_S + 0.5
# An endpoint that crashes over a prompt does so as it begins to answer; a few events
# may still arrive.
ANSWER_PROOF_EVENTS = 5
# Silence timeout as a multiple of the route's objective for latency or for the gap
# between events, whichever is longer, but at least TOLERATED_SILENCE_S.
SILENCE_TIMEOUT_FACTOR = 3.0
# A request with little time left tries another endpoint after this share of it.
SILENCE_TIME_SHARE = 0.4
MIN_SILENCE_TIMEOUT_S = 0.4
# A silence that goes on is reported again, as another endpoint may have room by then.
SILENCE_REPORT_INTERVAL_S = 0.5
# Peers correct the time at which a target was set.
WEIGHTS_CHECK_INTERVAL_S = 0.25
# A process that wakes up later than this was suspended or had no processor time.
MAX_WAKEUP_DELAY_S = 0.25


class Attempt:
    """Send a request to an endpoint and pass its events to the state machine."""

    def __init__(
        self,
        state: GatewayState,
        request: RoutedRequest,
        traits: RequestTraits,
        dispatch: Dispatch,
        attempt_id: AttemptId,
        first_event_index: int,
        events: MemoryObjectSendStream[Event],
        is_replacement: bool = False,
        was_tried: bool = False,
    ) -> None:
        self.dispatch = dispatch
        self.stream_head: ReplyHead | None = None
        self.error_reply: Reply | None = None
        self._state = state
        self._request = request
        self._traits = traits
        self.attempt_id = attempt_id
        self.events = events
        # While its run is copied, and stopped in the end, to go on elsewhere.
        self.is_moving = False
        self.is_stopping = False
        # Once this process has ordered its run to stop, unless it is known that it
        # didn't. The end of the connection then doesn't show that the answer is whole.
        self.may_be_stopped = False
        # Orders to stop its run that may have been, or may yet be, carried out.
        self.unanswered_stops = 0
        self._has_ended_in_move = anyio.Event()
        # Set if the connection was lost before the answer was complete.
        self.suspected_crash: Crash | None = None
        self._is_replacement = is_replacement
        self._was_tried = was_tried
        self._next_event_index = first_event_index
        self._began_at = state.clock.now()
        # Counted before the task starts, so that the next choice takes it into account.
        self.measurement = EngineMeasurement(state, request, dispatch, self._began_at)
        lifetime = dispatch.endpoint.lifetime
        self._held_body = state.body_bytes.hold(lifetime, len(request.envelope.body))
        self._first_event_at = math.inf
        self._answered_events = 0
        self._answer_bytes = 0
        self._is_answer_noted = False
        self._withheld_event: Event | None = None
        # The end of a stream if its run hasn't been stopped.
        self._unconfirmed_end: StreamEnded | None = None
        self._scope = anyio.CancelScope()
        self._usages: list[BufferUsage] = []
        self._is_request_over = False
        self.has_ended = False
        self._connection: ClientConnection | None = None
        self.is_answer_whole = False
        # Event loop times, set when the attempt runs.
        self._progress_at = math.inf
        self._silent_at = math.inf
        self._is_passing_on = False
        self._has_passed_on = False

    def cancel(self) -> None:
        """Close the connection, so that the endpoint stops the run."""
        self._scope.cancel()

    async def run(self) -> None:
        """Run the attempt until it ends, not beyond the deadline of its request."""
        try:
            await self._run()
        finally:
            self.has_ended = True
            self._has_ended_in_move.set()
            if self._is_request_over:
                self._close_usages()

    async def _run(self) -> None:
        left_s = self._request.deadline - self._state.clock.now()
        self._scope.deadline = anyio.current_time() + left_s
        # The endpoint sends nothing before it has read the prompt.
        expected_first_s = self.measurement.expected_first_s
        self._progress_at = anyio.current_time() + expected_first_s
        self._silent_at = self._silence_deadline()
        waiting = self._state.load.first_events.waiting(
            self.dispatch.endpoint.lifetime, self.attempt_id, self._began_at
        )
        with (
            self.measurement.tracked,
            self._held_body,
            waiting,
            self.events,
            self._scope,
        ):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._watch_silence)
                task_group.start_soon(self._watch_weights)
                event = await self._connect_and_exchange()
                task_group.cancel_scope.cancel()
            self._note_health(event)
            if self.is_moving and isinstance(event, AttemptRefused):
                # An endpoint aborts its reply when it stops a run that is to be moved;
                # the failure is passed on only if the move fails too.
                self._withheld_event = event
                self._has_ended_in_move.set()
                await anyio.sleep(MAX_MOVE_S)
            await self.send_event(event)

        if self._scope.cancelled_caught and not self._is_late(self._silent_at):
            self._note_silence()

    def note_replaced(self) -> None:
        """Count the attempt as failed if its endpoint was silent for too long."""
        now = self._state.clock.now()
        if anyio.current_time() < self._progress_at + TOLERATED_SILENCE_S:
            return
        if self.measurement.is_wait_explained(now):
            EXPLAINED_FAILURES_TOTAL.inc({"kind": "wait"})
            return
        if not self._state.weights.is_changing(self.dispatch.endpoint, now):
            lifetime = self.dispatch.endpoint.lifetime
            self._state.health.record_outcome(lifetime, failed=True, now=now)

    def _note_health(self, event: Event) -> None:
        endpoint = self.dispatch.endpoint
        now = self._state.clock.now()
        failed = isinstance(event, AttemptRefused | NotWritten)
        # Failures during a weights change or a move don't count against the endpoint.
        if failed and (
            self._may_end_early or self._state.weights.is_changing(endpoint, now)
        ):
            return
        if failed and self._is_rejection_explained(event, now):
            EXPLAINED_FAILURES_TOTAL.inc({"kind": "rejection"})
            return
        self._state.health.record_outcome(endpoint.lifetime, failed, now)

    def _is_rejection_explained(self, event: Event, now: float) -> bool:
        if not isinstance(event, AttemptRefused):
            return False
        is_rejected = event.refusal.code == NotStarted.code
        return is_rejected and self.measurement.is_rejection_explained(now)

    async def _watch_silence(self) -> None:
        """Report the silence of the endpoint to the state machine while it lasts."""
        while True:
            due_at = self._silent_at
            await anyio.sleep_until(due_at)
            if self._is_passing_on or self._is_late(due_at):
                # The caller is slow or this process stood still, not the endpoint.
                self._note_progress()
            if anyio.current_time() < self._silent_at:
                continue
            if not self.is_stopping:
                self._note_silence()
                await self.send_event(EndpointSilent(self.attempt_id))
            self._silent_at = anyio.current_time() + SILENCE_REPORT_INTERVAL_S

    async def _watch_weights(self) -> None:
        """Take a run back that hasn't begun when its weights are nearly overdue.

        Only a stream shows that its run has begun, and a moved run has begun before.
        """
        prompt, dispatch = self._request.envelope.prompt, self.dispatch
        if self._request.route.kind is not RouteKind.STREAM or prompt is None:
            return
        if not dispatch.weights_version or dispatch.continued_run:
            return
        while True:
            version = dispatch.weights_version
            start_by = latest_start(self._state, prompt.model, version)
            left_s = start_by - self._state.clock.now()
            # The caller may have got a comment before the first event.
            if self._has_passed_on or not math.isinf(self._first_event_at):
                return
            if left_s <= 0:
                break
            await anyio.sleep(min(left_s, WEIGHTS_CHECK_INTERVAL_S))
        name = dispatch.endpoint.name
        WITHDRAWN_FOR_WEIGHTS_TOTAL.inc({})
        await self.send_event(
            self._refused_event(
                OutcomeUnknown.refuse(f"{name} hasn't begun before its weights expire")
            )
        )
        self.cancel()

    def _is_late(self, due_at: float) -> bool:
        return anyio.current_time() > due_at + MAX_WAKEUP_DELAY_S

    def _note_silence(self) -> None:
        """Suspect the endpoint if it has sent no data to any request for too long."""
        state, endpoint = self._state, self.dispatch.endpoint
        now = state.clock.now()
        began_at = now - (anyio.current_time() - self._progress_at)
        # An endpoint that answers other requests meanwhile is busy, not dead.
        began_at = max(began_at, now - state.silence_s(endpoint))
        if now - began_at < MIN_SILENCE_TIMEOUT_S:
            return
        if state.weights.is_changing(endpoint, now):
            return
        silence_s = state.silences.note_wait(endpoint.lifetime, began_at, now)
        # One that was suspected before and hasn't answered since gets no more time.
        if silence_s >= TOLERATED_SILENCE_S or state.suspects.has_failed(endpoint.name):
            state.suspect(endpoint, f"no data for {silence_s:.1f} s")

    def _note_progress(self) -> None:
        self._progress_at = anyio.current_time()
        self._silent_at = self._silence_deadline()

    async def _connect_and_exchange(self) -> Event:
        endpoint = self.dispatch.endpoint
        suspects = self._state.suspects
        now = self._state.clock.now()
        # A suspected endpoint is tried by one request at a time.
        suspects.begin_probe(endpoint.name, now)
        connecting_at = anyio.current_time()
        try:
            connection = await self._state.pool.acquire(
                endpoint.lifetime,
                endpoint.host,
                endpoint.port,
                # An endpoint that has answered this request before may do so again.
                fresh=self._was_tried
                or self._state.silence_s(endpoint) > MAX_SILENCE_FOR_REUSE_S,
            )
        except ConnectionFailedError as error:
            self._state.suspect(endpoint, str(error))
            return NotWritten(self.attempt_id, str(error))
        self._note_connected(connection, connecting_at)
        try:
            event = await self._exchange(connection)
        except ReplyEvictedError as error:
            connection.close()
            self._note_eviction(str(error))
            return self._refused_event(OutcomeUnknown.refuse(str(error)))
        except (ConnectionFailedError, InvalidReplyError) as error:
            connection.close()
            now = self._state.clock.now()
            if not self._state.weights.is_changing(endpoint, now):
                self._state.suspect(endpoint, str(error))
            if not self._may_end_early:
                self._suspect_crash(now)
            return self._refused_event(OutcomeUnknown.refuse(str(error)))
        except Exception as error:
            connection.close()
            logger.exception("attempt failed", request=self._request_id)
            return self._refused_event(InternalFault.refuse(repr(error)))
        except BaseException:
            connection.close()
            raise
        suspects.note_answer(endpoint.name)
        return event

    def _note_connected(
        self, connection: ClientConnection, connecting_at: float
    ) -> None:
        if not connection.is_reused:
            connect_s = anyio.current_time() - connecting_at
            data_centre = self.dispatch.endpoint.data_centre
            self._state.placement.delays.note_connect(data_centre, connect_s)

    def _note_eviction(self, reason: str) -> None:
        EVICTED_REPLIES_TOTAL.inc({})
        endpoint, usage = self.dispatch.endpoint, self._usages[-1]
        logger.warning(
            "reply evicted",
            request=self._request_id,
            endpoint=endpoint.lifetime,
            reason=reason,
            has_length=usage.is_bounded,
            held_bytes=self._state.pool.budget.held_bytes,
        )
        # A reply that states its length may be sound, and large beside endless ones.
        if not usage.is_bounded:
            self._state.suspect(endpoint, reason)

    def _suspect_crash(self, now: float) -> None:
        endpoint, envelope = self.dispatch.endpoint, self._request.envelope
        crash = suspected_crash(
            self._state,
            self._traits,
            endpoint,
            self._began_at,
            now,
            self.has_answered,
        )
        self.suspected_crash = crash
        self._state.spawn(check_crash, self._state, envelope, endpoint, crash)

    @property
    def has_answered(self) -> bool:
        """Return whether the endpoint has survived the start of its answer."""
        return self._answered_events >= ANSWER_PROOF_EVENTS

    async def _exchange(self, connection: ClientConnection) -> Event:
        platform = self._state.platform
        body = self._request.envelope.body
        self._connection = connection
        head = platform.dispatched_head(
            self._request, self.dispatch, self._state.clock.now()
        )
        await connection.send(head, body)
        if self._is_replacement:
            await self.send_event(Written(self.attempt_id))
        reply_head = await connection.read_head()
        for _ in range(MAX_STALE_REPLIES):
            if self._is_answer(connection, reply_head):
                break
            await connection.skip_body(MAX_REPLY_BYTES)
            connection.skip_reply(head, body)
            reply_head = await connection.read_head()
        return await self._read_answer(connection, reply_head)

    def _is_answer(self, connection: ClientConnection, head: ReplyHead) -> bool:
        """Return whether a reply answers this request, not an earlier one."""
        request_id = self._state.platform.answered_request_id(head)
        if request_id is None:
            # Only on a new connection can't it be a late copy of an earlier reply.
            return not connection.is_reused
        return request_id == self._request_id

    async def _read_answer(
        self, connection: ClientConnection, head: ReplyHead
    ) -> Event:
        platform = self._state.platform
        if not self._is_answer(connection, head):
            raise InvalidReplyError("the reply belongs to another request")
        self._state.record_contact(self.dispatch.endpoint)
        note_statement(self._state, self.dispatch.endpoint, head, self._began_at)
        platform.check_success(head)
        self._note_weights(head)
        if self._is_stream(head):
            self.stream_head = head
            await self._pass_stream_events(connection, head)
            event: Event = StreamEnded(self.attempt_id, Ending(self._next_event_index))
            if not head.has_framing:
                self._log_connection_end()
            if not head.has_framing and self.may_be_stopped:
                connection.close()
                return self._unconfirmed_end_event()
        else:
            usage = self._open_usage(connection, head)
            body = await self._read_body(connection, usage)
            event = self._reply_event(Reply(head, body))
            now = self._state.clock.now()
            if head.status < HTTPStatus.MULTIPLE_CHOICES:
                note_answer_begun(self._state, self._traits, now)
            if self._is_outcome(head):
                note_answer_ended(self._state, self._traits, now)
        self.is_answer_whole = True
        note_answered(
            self._state,
            self._request,
            self.dispatch.endpoint,
            self._answer_bytes,
            self._began_at,
        )
        self._connection = None
        limit_s = platform.idle_limit_s(head)
        self._state.pool.return_connection(
            self.dispatch.endpoint.lifetime, connection, limit_s
        )
        return event

    def _unconfirmed_end_event(self) -> AttemptRefused:
        self._unconfirmed_end = StreamEnded(
            self.attempt_id, Ending(self._next_event_index)
        )
        return self._refused_event(
            OutcomeUnknown.refuse("the stream ended, maybe as it was stopped")
        )

    def _log_connection_end(self) -> None:
        """Log the end of a stream that has neither a length nor chunks.

        Only the order of log lines tells whose decision this end was.
        """
        logger.info(
            "stream ended with its connection",
            request=self._request_id,
            endpoint=self.dispatch.endpoint.lifetime,
            events=self._next_event_index,
            stop_ordered=self.may_be_stopped,
        )

    def _open_usage(self, connection: ClientConnection, head: ReplyHead) -> BufferUsage:
        """Return the usage of a body, whose bytes count until the request has ended."""
        lifetime = self.dispatch.endpoint.lifetime
        usage = self._state.pool.budget.open_buffer(lifetime, connection.abort)
        usage.is_bounded = head.has_length
        self._usages.append(usage)
        return usage

    async def _read_body(
        self, connection: ClientConnection, usage: BufferUsage
    ) -> bytes:
        try:
            body = await connection.read_body(MAX_REPLY_BYTES, usage)
        except BaseException:
            usage.close()
            raise
        usage.keep()
        self._answer_bytes += len(body)
        return body

    @property
    def has_unread_answer(self) -> bool:
        """Return whether data has arrived that the request hasn't got yet."""
        if self.has_ended:
            return False
        if self._is_passing_on or self.is_answer_whole:
            return True
        return self._connection is not None and not self._connection.is_idle()

    def note_request_ended(self) -> None:
        """Stop counting the bytes of replies, which nobody holds any more."""
        self._is_request_over = True
        if self.has_ended:
            self._close_usages()

    def _close_usages(self) -> None:
        for usage in self._usages:
            usage.close()

    def _reply_event(self, reply: Reply) -> Event:
        if self._state.platform.is_not_executed(reply.head):
            retry_at = self._rejected_retry_at()
            detail = f"{self.dispatch.endpoint.name} answered {reply.head.status}"
            return self._refused_event(NotStarted.refuse(detail, retry_at))
        failed = reply.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and self._request.route.repeatable:
            self.error_reply = reply
            detail = f"{self.dispatch.endpoint.name} answered {reply.head.status}"
            return self._refused_event(EndpointFailed.refuse(detail))
        return ReplyArrived(self.attempt_id, reply)

    def _rejected_retry_at(self) -> float:
        """Return when the caller may retry if no other endpoint takes the request."""
        request, now = self._request, self._state.clock.now()
        start_at = earliest_start(self._state, request.service, urgency(request), now)
        # Callers follow no longer times.
        usable_s = RETRY_SHARE * max(0.0, request.deadline - now)
        return min(max(now + REJECTED_RETRY_DELAY_S, start_at), now + usable_s)

    async def _pass_stream_events(
        self, connection: ClientConnection, head: ReplyHead
    ) -> None:
        splitter = EventSplitter(last_event_id=self.dispatch.last_event_id)
        usage = self._open_usage(connection, head)
        # The length of a stream doesn't bound that of an event.
        usage.is_bounded = False
        try:
            await self._read_events(connection, head, splitter, usage)
        except ByteBudgetExceededError as error:
            raise ReplyEvictedError(str(error)) from error
        except ConnectionFailedError as error:
            if not usage.is_evicted:
                raise
            raise ReplyEvictedError("event evicted") from error
        finally:
            usage.close()

    async def _read_events(
        self,
        connection: ClientConnection,
        head: ReplyHead,
        splitter: EventSplitter,
        usage: BufferUsage,
    ) -> None:
        is_first = True
        is_empty = True
        while (data := await connection.read_data()) is not None:
            self._state.record_contact(self.dispatch.endpoint)
            is_empty = False
            self._answer_bytes += len(data)
            stream_events = splitter.feed(data)
            usage.set_bytes(splitter.remainder_bytes)
            if stream_events:
                answered_events = sum(not each.is_comment for each in stream_events)
                self._answered_events += answered_events
                has_progressed = answered_events > 0
                if is_first and has_progressed:
                    self._note_prefill_done()
                    is_first = False
                if has_progressed:
                    now = self._state.clock.now()
                    self.measurement.note_events(answered_events, now)
                self._is_passing_on = self._has_passed_on = True
                await self.send_event(
                    PiecesArrived(
                        self.attempt_id,
                        self._next_event_index,
                        stream_events,
                        has_progressed,
                    )
                )
                self._is_passing_on = False
                self._next_event_index += len(stream_events)
                if self.has_answered:
                    self._note_answered()
                if has_progressed:
                    self._note_progress()
        splitter.finish()
        # An engine that dies after the head ends the stream like this. A resumed stream
        # may have no more events.
        if is_empty and not head.has_framing and self.dispatch.last_event_id is None:
            raise InvalidReplyError("the stream ended before its first event")
        self._note_answered()
        note_answer_ended(self._state, self._traits, self._state.clock.now())

    def _note_answered(self) -> None:
        if not self._is_answer_noted and not math.isinf(self._first_event_at):
            self._is_answer_noted = True
            note_answer_begun(self._state, self._traits, self._first_event_at)

    def _note_prefill_done(self) -> None:
        self._first_event_at = self._state.clock.now()
        self.measurement.note_first_event(self._first_event_at)
        lifetime = self.dispatch.endpoint.lifetime
        self._state.load.first_events.note_first_event(
            lifetime, self.attempt_id, self._first_event_at
        )
        note_prompt_read(self._state, self._request, self.dispatch)

    def _is_outcome(self, head: ReplyHead) -> bool:
        """Return whether a reply shows that the endpoint has survived the request."""
        if self._state.platform.is_not_executed(head) or head.status in NOT_RUN:
            return False
        return head.status < HTTPStatus.INTERNAL_SERVER_ERROR

    def _is_stream(self, head: ReplyHead) -> bool:
        kind = head.value(b"content-type") or b""
        return head.status == HTTPStatus.OK and kind.startswith(b"text/event-stream")

    def _note_weights(self, head: ReplyHead) -> None:
        prompt = self._request.envelope.prompt
        version = self._state.platform.weights_version(head)
        if prompt is None or not version:
            return
        endpoint, expected = self.dispatch.endpoint, self.dispatch.weights_version
        self._state.fleet.note_version(endpoint, prompt.model, version)
        ran = not self._state.platform.is_not_executed(head)
        if ran and expected and version != expected:
            UNEXPECTED_WEIGHTS_TOTAL.inc({})
            logger.warning(
                "reply made on unexpected weights",
                request=self._request_id,
                endpoint=endpoint.lifetime,
                weights=version,
                expected=expected,
                continued_run=self.dispatch.continued_run,
            )

    def _silence_deadline(self) -> float:
        """Return the event loop time from which the endpoint counts as silent."""
        left_s = self._request.deadline - self._state.clock.now()
        return self._progress_at + silence_timeout_s(self._request.route, left_s)

    @property
    def _may_end_early(self) -> bool:
        return self.is_stopping or self.may_be_stopped

    async def has_failed_in_move(self, within_s: float = 0.0) -> bool:
        """Wait for the end, and return whether a failure is withheld for the move."""
        with anyio.move_on_after(within_s):
            await self._has_ended_in_move.wait()
        return isinstance(self._withheld_event, AttemptRefused)

    def late_stops(self, is_continued: bool) -> int:
        """Return how many orders may yet stop another run at the same endpoint.

        An endpoint continues a run from memory only if it has stopped it. An end of the
        stream was that of one order, or else nothing of the answer is left to stop.
        """
        has_stopped = is_continued or self._unconfirmed_end is not None
        return max(0, self.unanswered_stops - has_stopped)

    def note_not_stopped(self) -> None:
        """Take the end of the stream, past or future, for that of its run."""
        self.may_be_stopped = False
        if self._unconfirmed_end is not None:
            self._withheld_event = self._unconfirmed_end

    async def cancel_move(self) -> None:
        """End a failed move and pass on the end that is withheld for it, if any."""
        self.is_moving = self.is_stopping = False
        if self._withheld_event is not None:
            await self.send_event(self._withheld_event)

    async def send_event(self, event: Event) -> bool:
        """Pass an event to the state machine; return False if the request has ended."""
        try:
            await self.events.send(event)
            return True
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The request has ended; the exchange goes on so that its outcome is known.
            logger.debug("event dropped, request has ended", request=self._request_id)
            return False

    def _refused_event(self, error: RequestRefusedError) -> AttemptRefused:
        return AttemptRefused(self.attempt_id, error.refusal)

    @property
    def _request_id(self) -> str:
        return self._request.envelope.request_id


def silence_timeout_s(route: Route, left_s: float) -> float:
    """Return how long an endpoint may send nothing before another one is tried.

    A request that has little time left can't wait as long as others.
    """
    longest_s = max(route.objective_s, route.gap_objective_s)
    timeout_s = max(TOLERATED_SILENCE_S, SILENCE_TIMEOUT_FACTOR * longest_s)
    return max(MIN_SILENCE_TIMEOUT_S, min(timeout_s, SILENCE_TIME_SHARE * left_s))
