"""One attempt: a request to one endpoint and what comes back."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.attempts.types import (
    AttemptRefused,
    Ending,
    NotWritten,
    PiecesArrived,
    ReplyArrived,
    StreamEnded,
)
from agatehoist.http1.errors import AnswerGarbledError, ConnectionFailedError
from agatehoist.http1.event_stream import EventSplitter
from agatehoist.http1.types import Reply
from agatehoist.observability.logs import get_logger
from agatehoist.refusals.kinds import (
    EndpointFailed,
    InternalFault,
    NotStarted,
    OutcomeUnknown,
)

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from agatehoist.attempts.types import Event
    from agatehoist.core.identity import AttemptId
    from agatehoist.fleet.load import Ticket
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch
    from agatehoist.http1.client import ClientConnection
    from agatehoist.http1.types import ReplyHead
    from agatehoist.refusals.types import RequestRefusedError
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

MAX_REPLY_BYTES = 8 * 1024 * 1024
# Answers of earlier requests that may stand before the one that is waited for.
MAX_STRAY_ANSWERS = 2
RETRY_DELAY_S = 0.25
# What was sent on a kept connection to a peer that has vanished may have run, so one
# that wasn't heard for so long is asked for a new connection first.
HEARD_S = 0.4
# A move is answered within this time, or it has failed.
MOVE_TIMEOUT_S = 1.0
MIN_PATIENCE_S = 0.4
OBJECTIVES_OF_PATIENCE = 3.0


class Attempt:
    """Send a request to an endpoint and report events until its end."""

    def __init__(
        self,
        state: GatewayState,
        request: RoutedRequest,
        dispatch: Dispatch,
        attempt_id: AttemptId,
        first: int,
        events: MemoryObjectSendStream[Event],
    ) -> None:
        self.dispatch = dispatch
        self.head: ReplyHead | None = None
        self.failure: Reply | None = None
        self._state = state
        self._request = request
        self.attempt_id = attempt_id
        self.events = events
        self.moves = False
        self._received = first
        self._began_at = state.clock.now()
        # Prompts that were there before are read first.
        lifetime = dispatch.endpoint.lifetime
        self._expected_wait_s = state.load.wait_s(lifetime, self._began_at)
        self._withheld: Event | None = None
        self._scope = anyio.CancelScope()
        self._patience = anyio.CancelScope()

    def cancel(self) -> None:
        """Break the attempt off, so that the endpoint drops its work."""
        self._scope.cancel()

    async def run(self) -> None:
        """Carry the attempt to its end."""
        endpoint = self.dispatch.endpoint
        prompt = self._request.envelope.prompt
        unread = prompt.prompt_tokens if prompt else 0
        with (
            self.events,
            self._scope,
            self._state.load.track(endpoint.lifetime, unread) as ticket,
        ):
            event = await self._outcome(ticket)
            self._note_health(event)
            if self.moves and isinstance(event, AttemptRefused):
                # The endpoint breaks the answer off when it stops a run to be moved.
                self._withheld = event
                await anyio.sleep(MOVE_TIMEOUT_S)
            await self.report(event)

        if self._scope.cancelled_caught and self._was_silent():
            self._state.suspect(endpoint, "its caller left without an answer")

    def _note_health(self, event: Event) -> None:
        endpoint = self.dispatch.endpoint
        now = self._state.clock.now()
        failed = isinstance(event, AttemptRefused | NotWritten)
        # What fails while weights change or a run is moved is no fault of the endpoint.
        if failed and (self.moves or self._state.weights.is_changing(endpoint, now)):
            return
        self._state.health.record_outcome(endpoint.lifetime, failed, now)

    def _was_silent(self) -> bool:
        """Say whether a caller who left had waited in vain for a sign of life."""
        waited_s = self._state.clock.now() - self._began_at
        route = self._request.route
        patience = patience_s(route.objective_s, route.gap_objective_s)
        return self.head is None and waited_s > patience

    async def _outcome(self, ticket: Ticket) -> Event:
        endpoint = self.dispatch.endpoint
        suspects = self._state.suspects
        now = self._state.clock.now()
        suspects.begin_probe(endpoint.name, now)
        try:
            connection = await self._state.pool.take(
                endpoint.lifetime,
                endpoint.host,
                endpoint.port,
                fresh=self._state.silent_for_s(endpoint) > HEARD_S,
            )
        except ConnectionFailedError as error:
            self._state.suspect(endpoint, str(error))
            return NotWritten(self.attempt_id, str(error))
        try:
            event = await self._exchange(connection, ticket)
        except (ConnectionFailedError, AnswerGarbledError) as error:
            connection.close()
            now = self._state.clock.now()
            if not self._state.weights.is_changing(endpoint, now):
                self._state.suspect(endpoint, str(error))
            return self._refused(OutcomeUnknown.refuse(str(error)))
        except Exception as error:
            connection.close()
            logger.exception("attempt failed", request=self._request_id)
            return self._refused(InternalFault.refuse(repr(error)))
        except BaseException:
            connection.close()
            raise
        suspects.note_answer(endpoint.name)
        return event

    async def _exchange(self, connection: ClientConnection, ticket: Ticket) -> Event:
        platform = self._state.platform
        body = self._request.envelope.body
        head = platform.dispatched_head(
            self._request, self.dispatch, self._state.clock.now()
        )
        await connection.send(head, body)
        with anyio.CancelScope(deadline=self._patience_until()) as self._patience:
            reply_head = await connection.read_head()
            for _ in range(MAX_STRAY_ANSWERS):
                if platform.answered_id(reply_head) in (None, self._request_id):
                    break
                await connection.read_body(MAX_REPLY_BYTES)
                connection.skip_answer(head, body)
                reply_head = await connection.read_head()
            return await self._read_answer(connection, reply_head, ticket)
        # Only a lapse of patience ends the scope without an answer.
        connection.close()
        raise ConnectionFailedError(f"{self.dispatch.endpoint.name}: silent")

    async def _read_answer(
        self, connection: ClientConnection, head: ReplyHead, ticket: Ticket
    ) -> Event:
        platform = self._state.platform
        if platform.answered_id(head) not in (None, self._request_id):
            raise AnswerGarbledError("an answer to another request")
        self._state.note_heard(self.dispatch.endpoint)
        platform.check_success(head)
        self._note_weights(head)
        if self._is_stream(head):
            self.head = head
            await self._pass_events(connection, ticket)
            event: Event = StreamEnded(self.attempt_id, Ending(self._received))
        else:
            body = await connection.read_body(MAX_REPLY_BYTES)
            event = self._reply_event(Reply(head, body))
        limit_s = platform.idle_limit_s(head)
        self._state.pool.give_back(self.dispatch.endpoint.lifetime, connection, limit_s)
        return event

    def _reply_event(self, reply: Reply) -> Event:
        if self._state.platform.not_executed(reply.head):
            retry_at = self._state.clock.now() + RETRY_DELAY_S
            detail = f"{self.dispatch.endpoint.name} answered {reply.head.status}"
            return self._refused(NotStarted.refuse(detail, retry_at))
        failed = reply.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and self._request.route.repeatable:
            self.failure = reply
            detail = f"{self.dispatch.endpoint.name} answered {reply.head.status}"
            return self._refused(EndpointFailed.refuse(detail))
        return ReplyArrived(self.attempt_id, reply)

    async def _pass_events(self, connection: ClientConnection, ticket: Ticket) -> None:
        splitter = EventSplitter()
        while (data := await connection.read_data()) is not None:
            self._state.note_heard(self.dispatch.endpoint)
            if events := splitter.feed(data):
                ticket.note_prefill_done()
                await self.report(
                    PiecesArrived(self.attempt_id, self._received, events)
                )
                self._received += len(events)
                self._patience.deadline = self._patience_until()
        if events := splitter.finish():
            await self.report(PiecesArrived(self.attempt_id, self._received, events))
            self._received += len(events)

    def _is_stream(self, head: ReplyHead) -> bool:
        kind = head.value(b"content-type") or b""
        return head.status == HTTPStatus.OK and kind.startswith(b"text/event-stream")

    def _note_weights(self, head: ReplyHead) -> None:
        prompt = self._request.envelope.prompt
        version = self._state.platform.weights_version(head)
        if prompt is not None and version:
            endpoint = self.dispatch.endpoint
            self._state.fleet.note_version(endpoint, prompt.model, version)

    def _patience_until(self) -> float:
        """Return until when the endpoint may be silent, by the loop's clock."""
        now = anyio.current_time()
        route = self._request.route
        left_s = self._request.deadline - self._state.clock.now()
        if not route.repeatable or route.max_runs <= 1:
            return now + left_s
        allowed_s = patience_s(route.objective_s, route.gap_objective_s)
        if self.head is None:
            allowed_s += self._expected_wait_s
        return now + min(left_s, allowed_s)

    async def end_move(self) -> None:
        """Go on as before a move that didn't happen."""
        self.moves = False
        if self._withheld is not None:
            await self.report(self._withheld)

    async def report(self, event: Event) -> None:
        try:
            await self.events.send(event)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Nobody waits any more; the work goes on so that its outcome is known.
            logger.debug("answer not waited for", request=self._request_id)

    def _refused(self, error: RequestRefusedError) -> AttemptRefused:
        return AttemptRefused(self.attempt_id, error.refusal)

    @property
    def _request_id(self) -> str:
        return self._request.envelope.request_id


def patience_s(objective_s: float, gap_objective_s: float) -> float:
    """Return how long an endpoint may be silent before another one is tried."""
    longest_s = max(objective_s, gap_objective_s)
    return max(MIN_PATIENCE_S, OBJECTIVES_OF_PATIENCE * longest_s)
