"""Routes that callers use."""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing, contextmanager
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agatehoist.core.work import CallWork
from agatehoist.frontend.access import (
    authorise,
    read_body,
    read_key,
    require_ready,
)
from agatehoist.frontend.answers import Answer
from agatehoist.frontend.closing import ClosingResponse
from agatehoist.frontend.disconnect import run_while_connected
from agatehoist.frontend.measuring import measured
from agatehoist.frontend.parsing import (
    PARTS_READERS_BY_PATH,
    parse_completion,
)
from agatehoist.frontend.rendering import (
    Envelope,
    render_delta,
    render_end,
    render_refusal,
    render_stream_error,
    render_whole,
)
from agatehoist.frontend.resuming import (
    RESUME_HEADER,
    decode_point,
)
from agatehoist.observability.http import health_routes
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    IN_FLIGHT,
    REFUSALS_TOTAL,
)
from agatehoist.operators.routes import operator_routes
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import InternalFault, UnknownService
from agatehoist.router.rate_limits import call
from agatehoist.router.requests import (
    CallRequest,
    CompletionRequest,
    Delta,
    Finished,
    Started,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Iterator

    from starlette.requests import Request

    from agatehoist.frontend.answers import Event
    from agatehoist.router.state import RouterState

logger = get_logger("frontend")

ENDPOINT_HEADER = "x-agatehoist-endpoint"
REQUEST_TIMEOUT_S = 60.0
STATUS_CALLER_LEFT = 499
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


def make_app(state: RouterState) -> Starlette:
    """Return the ASGI application of a router."""
    frontend = Frontend(state)
    completions = [
        Route(path, frontend.complete, methods=["POST"])
        for path in PARTS_READERS_BY_PATH
    ]
    services = Route(
        "/services/{name}/{path:path}", frontend.call, methods=SERVICE_METHODS
    )
    models = Route("/v1/models", frontend.list_models)
    return Starlette(
        routes=[
            *health_routes(lambda: state.ready),
            *operator_routes(state),
            *completions,
            models,
            services,
        ],
        exception_handlers={
            RequestRefusedError: frontend.refuse,
            Exception: frontend.fail,
        },
    )


class Frontend:
    """Decode callers' requests and encode their answers."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    async def refuse(self, _request: Request, error: Exception) -> Response:
        """Answer with a refusal."""
        assert isinstance(error, RequestRefusedError)
        refusal = error.refusal
        REFUSALS_TOTAL.inc({"code": refusal.code, "run": str(refusal.run)})
        return render_refusal(refusal, self._state.clock.now())

    async def fail(self, _request: Request, error: Exception) -> Response:
        """Answer after a fault of the program itself."""
        logger.error("request failed", exc_info=error)
        refusal = InternalFault.refuse("the router failed").refusal
        return render_refusal(refusal, self._state.clock.now())

    async def list_models(self, request: Request) -> Response:
        """Answer with the configured models."""
        authorise(self._state, request)
        names = self._state.configuration.models_by_name
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "agatehoist"}
            for name in names
        ]
        return JSONResponse({"object": "list", "data": models})

    async def complete(self, request: Request) -> Response:
        """Answer a completion, whole or streamed, or resume a stream."""
        organisation = authorise(self._state, request)
        body = await read_body(self._state, request)
        require_ready(self._state)
        decoded = parse_completion(
            request.url.path,
            body,
            organisation,
            self._state.configuration,
            self._state.clock.now() + REQUEST_TIMEOUT_S,
        )
        point = request.headers.get(RESUME_HEADER)
        answer = Answer(
            decoded.request,
            decode_point(point) if point else None,
            decoded.with_usage,
        )
        try:
            async with AsyncExitStack() as closing:
                closing.enter_context(self._in_flight())
                if decoded.stream:
                    return await self._stream(request, answer, closing)
                return await self._answer_whole(request, answer)
        except ClientDisconnect:
            return Response(status_code=STATUS_CALLER_LEFT)

    async def call(self, request: Request) -> Response:
        """Answer a service call."""
        organisation = authorise(self._state, request)
        body = await read_body(self._state, request)
        require_ready(self._state)
        decoded = self._decode_call(request, organisation, body)
        with (
            self._in_flight(),
            measured(self._state, organisation, decoded.service),
        ):
            answer = await call(self._state, decoded)
        headers = {**answer.headers_by_name, ENDPOINT_HEADER: answer.host}
        return Response(answer.body, answer.status, headers)

    def _decode_call(
        self, request: Request, organisation: str, body: bytes
    ) -> CallRequest:
        name = request.path_params["name"]
        service = self._state.configuration.services_by_name.get(name)
        if service is None:
            raise UnknownService.refuse(f"no service has the name {name!r}")
        path = "/" + request.path_params["path"]
        if request.url.query:
            path = f"{path}?{request.url.query}"
        headers = dict(request.headers)
        headers.pop("authorization", None)
        headers.pop("host", None)
        work = CallWork(request.method, path, headers, body)
        idempotent = request.method not in service.non_idempotent_methods
        deadline = self._state.clock.now() + REQUEST_TIMEOUT_S
        key = None if idempotent else read_key(request)
        return CallRequest(organisation, name, work, idempotent, deadline, key)

    async def _answer_whole(self, request: Request, answer: Answer) -> Response:
        async def collect() -> Response:
            texts: list[str] = []
            async with aclosing(self._events(answer)) as events:
                async for event in events:
                    if isinstance(event, Started):
                        host = event.target.host
                    elif isinstance(event, Delta):
                        texts.append(event.text)
                    else:
                        end = event
            body = render_whole(self._envelope(answer.request), "".join(texts), end)
            return JSONResponse(body, headers={ENDPOINT_HEADER: host})

        return await run_while_connected(request, collect)

    async def _stream(
        self, request: Request, answer: Answer, closing: AsyncExitStack
    ) -> Response:
        events = await closing.enter_async_context(aclosing(self._events(answer)))
        # The first event decides between a stream and a refusal with its status.
        started = await run_while_connected(request, lambda: anext(events))
        assert isinstance(started, Started)
        headers = {
            ENDPOINT_HEADER: started.target.host,
            RESUME_HEADER: answer.point_at(started.target, answer.first),
            "cache-control": "no-cache",
        }
        return ClosingResponse(
            self._encode_stream(answer, events), headers, closing.pop_all()
        )

    async def _encode_stream(
        self, answer: Answer, events: AsyncGenerator[Event]
    ) -> AsyncIterator[bytes]:
        envelope = self._envelope(answer.request)
        try:
            async for event in events:
                if isinstance(event, Delta):
                    point = answer.point_at(event.target, event.until)
                    yield render_delta(envelope, event.text, point)
                elif isinstance(event, Finished):
                    yield render_end(envelope, event, answer.with_usage)
        except RequestRefusedError as error:
            yield render_stream_error(error.refusal)

    async def _events(self, answer: Answer) -> AsyncGenerator[Event]:
        request = answer.request
        with measured(self._state, request.organisation, request.model) as seen:
            async with aclosing(answer.events(self._state)) as events:
                async for event in events:
                    seen.note(event)
                    yield event

    def _envelope(self, request: CompletionRequest) -> Envelope:
        now = self._state.clock.now()
        answer_id = f"cmpl-{self._state.next_attempt_id()}"
        return Envelope(request.work.path, answer_id, int(now), request.model)

    @contextmanager
    def _in_flight(self) -> Iterator[None]:
        with self._state.in_flight.track():
            IN_FLIGHT.inc({})
            try:
                yield
            finally:
                IN_FLIGHT.dec({})
