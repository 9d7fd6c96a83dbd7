"""Server for the HTTP connections of callers."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.byte_budget import ByteBudgetExceededError
from agatehoist.core.work import Run
from agatehoist.gateway.request_driver import RequestDriver
from agatehoist.gateway.unanswered_requests import record_if_unanswered
from agatehoist.http1.connection_choice import Phase
from agatehoist.http1.errors import BadRequestError, ConnectionFailedError
from agatehoist.http1.reply_backlog import BacklogTerms
from agatehoist.http1.server import AdmittedBody, ServerConnection
from agatehoist.http1.types import Request
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    CUT_SLOW_READERS_TOTAL,
    OUTCOMES_TOTAL,
    REFUSALS_TOTAL,
    UNREAD_REQUESTS_TOTAL,
)
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import NotConfigured, RouterBusy, internal_fault
from agatehoist.routing.resolution import resolve

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.core.byte_budget import BufferUsage
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.event_stream import StreamEvent
    from agatehoist.http1.types import Headers, Reply, ReplyHead, RequestHead
    from agatehoist.refusals.types import Refusal
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

CLOSE_HEADERS: Headers = ((b"connection", b"close"),)
# A starting process has usually read its configuration after this time.
CONFIGURATION_RETRY_AFTER_S = 0.3
# Bodies that are being received or served have made room after this time.
BUDGET_RETRY_AFTER_S = 1.0


class HttpReplyWriter:
    """Write the reply to one request to its connection."""

    def __init__(
        self,
        state: GatewayState,
        connection: ServerConnection,
        request_id: str | None,
        closes: bool = False,
    ) -> None:
        self._state = state
        self._closes = closes
        self._connection = connection
        self._request_id = request_id

    async def start(self, head: ReplyHead) -> None:
        """Start a streamed reply."""
        headers = self._headers(self._state.platform.returned_headers(head))
        chunked = ((b"transfer-encoding", b"chunked"),)
        await self._connection.send_head(head.status, (*headers, *chunked))

    async def send(self, events: tuple[StreamEvent, ...]) -> None:
        """Send events of a streamed reply."""
        await self._connection.send_data(b"".join(each.data for each in events))

    async def finish(self) -> None:
        """End a streamed reply as complete."""
        await self._connection.end()
        OUTCOMES_TOTAL.inc({"outcome": "streamed"})

    async def reply(self, reply: Reply) -> None:
        """Send a complete reply."""
        headers = self._headers(self._state.platform.returned_headers(reply.head))
        await self._connection.send_reply(reply.head.status, headers, reply.body)
        OUTCOMES_TOTAL.inc({"outcome": "replied"})

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal, or abort the connection if a reply has started."""
        # `run` says whether an endpoint has run the request: no, yes or unknown.
        REFUSALS_TOTAL.inc({"code": refusal.code, "run": str(refusal.run)})
        if not self._connection.can_start_reply():
            self._connection.abort()
            return
        now = self._state.clock.now()
        reply = self._state.platform.refusal_reply(refusal, self._request_id, now)
        headers = self._headers(reply.head.headers)
        await self._connection.send_reply(reply.head.status, headers, reply.body)

    def _headers(self, headers: Headers) -> Headers:
        if self._closes:
            return (*headers, *CLOSE_HEADERS)
        # A pipelined request is answered too, and then the connection is closed.
        if not self._state.leaving or self._connection.has_input():
            return headers
        return (*headers, *CLOSE_HEADERS)


class Ingress:
    """Serve the requests of callers, one at a time on each connection."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        state = self._state
        callers = state.caller_connections
        if not callers.make_room():
            channel.close()
            return
        connection = ServerConnection(
            channel, state.clock, state.limits, self._admit_body, callers.reading_turns
        )
        with callers.track(connection):
            await self._serve_all(connection)

    async def _serve_all(self, connection: ServerConnection) -> None:
        try:
            await self._serve_requests(connection)
        except ConnectionFailedError as error:
            logger.debug("connection ended", reason=str(error))
        except Exception:
            # An error on one connection must not end the others.
            logger.exception("connection failed", peer=connection.peer)
            connection.abort()
        finally:
            connection.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        try:
            while await self._serve_next(connection):
                pass
        except BadRequestError as error:
            await self._reject(connection, error)
        except ByteBudgetExceededError as error:
            retry_at = self._state.clock.now() + BUDGET_RETRY_AFTER_S
            refusal = RouterBusy.refuse(str(error), retry_at).refusal
            await self._refuse_unread(connection, refusal)
        except RequestRefusedError as error:
            await self._refuse_unread(connection, error.refusal)

    def _admit_body(
        self, head: RequestHead, received_at: float, evict: Callable[[], None]
    ) -> AdmittedBody:
        """Count a large body for the organisation of its caller.

        Raises RequestRefusedError if the request would be refused anyway.
        """
        routed = self._route(Request(head, b"", received_at))
        organisation = routed.organisation.name if routed.organisation else ""
        budget = self._state.caller_connections.body_budget
        return AdmittedBody(budget.open_buffer(organisation, evict), routed.deadline)

    async def _refuse_unread(
        self, connection: ServerConnection, refusal: Refusal
    ) -> None:
        """Refuse a request whose body hasn't been read, and close the connection."""
        logger.info(
            "request refused unread",
            peer=connection.peer,
            code=refusal.code,
            detail=refusal.detail,
            held_bytes=self._state.caller_connections.body_budget.held_bytes,
        )
        writer = HttpReplyWriter(self._state, connection, None, closes=True)
        await writer.refuse(refusal)
        await connection.close_after_reply()

    async def _serve_next(self, connection: ServerConnection) -> bool:
        state = self._state
        if not state.caller_connections.may_wait(connection):
            return False
        note_phase = partial(state.caller_connections.note_phase, connection)
        note_phase(Phase.IDLE)
        request = await connection.next_request(partial(note_phase, Phase.READING))
        note_phase(Phase.SERVING)
        if request is None:
            return False
        request_id = state.platform.request_id(request.head)
        with (
            state.in_flight.track(),
            record_if_unanswered(connection, request, request_id, state.clock),
        ):
            await self._answer(connection, request, request_id)
        if connection.prepare_next_request():
            return True
        await connection.close_after_reply()
        return False

    async def _answer(
        self, connection: ServerConnection, request: Request, request_id: str | None
    ) -> None:
        try:
            routed = self._route(request)
        except RequestRefusedError as error:
            logger.info(
                "request refused",
                request=request_id,
                code=error.refusal.code,
                detail=error.refusal.detail,
                configuration=self._state.table.version if self._state.table else 0,
            )
            refusal = error.refusal
        except Exception:
            logger.exception("request failed", request=request_id)
            refusal = internal_fault(Run.NO)
        else:
            await self._run(connection, routed)
            return
        await HttpReplyWriter(self._state, connection, None).refuse(refusal)

    async def _run(self, connection: ServerConnection, routed: RoutedRequest) -> None:
        request_id = routed.envelope.request_id
        writer = HttpReplyWriter(self._state, connection, request_id)
        try:
            driver = RequestDriver(self._state, routed, writer)
            await self._drive(connection, routed, driver)
        except Exception:
            logger.exception("request failed", request=request_id)
            if not connection.has_replied:
                await writer.refuse(internal_fault(Run.UNKNOWN))

    async def _drive(
        self, connection: ServerConnection, routed: RoutedRequest, driver: RequestDriver
    ) -> None:
        """Process a request until its caller has got the reply."""
        open_usage = partial(self._open_backlog, connection, routed)
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_watch_disconnect, connection, driver)
                connection.hold_replies(BacklogTerms(open_usage, task_group.start_soon))
                await driver.run()
                # Its connection records the request as unanswered.
                with suppress(ConnectionFailedError):
                    await connection.wait_sent()
                task_group.cancel_scope.cancel()
        finally:
            connection.hold_replies(None)

    def _open_backlog(
        self, connection: ServerConnection, routed: RoutedRequest
    ) -> BufferUsage:
        """Count for the organisation what its caller doesn't read at once."""
        budget = self._state.caller_connections.backlog_budget
        organisation = routed.organisation.name if routed.organisation else ""

        def cut() -> None:
            CUT_SLOW_READERS_TOTAL.inc({})
            logger.warning(
                "reply cut, its caller reads slowly",
                request=routed.envelope.request_id,
                organisation=organisation,
                peer=connection.peer,
                held_bytes=budget.held_bytes,
                limit_bytes=budget.limit_bytes,
            )
            connection.abort()

        return budget.open_buffer(organisation, cut)

    def _route(self, request: Request) -> RoutedRequest:
        state = self._state
        if state.table is None:
            retry_at = state.clock.now() + CONFIGURATION_RETRY_AFTER_S
            raise NotConfigured.refuse("no configuration has been read yet", retry_at)
        return resolve(state.table, state.platform.read_envelope(request))

    async def _reject(
        self, connection: ServerConnection, error: BadRequestError
    ) -> None:
        UNREAD_REQUESTS_TOTAL.inc({"status": str(error.status)})
        logger.info("invalid HTTP request", peer=connection.peer, reason=str(error))
        if not connection.can_start_reply():
            connection.abort()
            return
        await connection.send_reply(error.status, CLOSE_HEADERS, error.detail.encode())
        await connection.close_after_reply()


async def _watch_disconnect(
    connection: ServerConnection, driver: RequestDriver
) -> None:
    await connection.wait_closed()
    driver.note_caller_disconnected()
