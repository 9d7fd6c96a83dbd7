"""Routes that callers use."""

from __future__ import annotations

from contextlib import aclosing, contextmanager
from typing import TYPE_CHECKING, Any

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from agatehoist.core.work import CallWork
from agatehoist.frontend.access import authorise, read_body, require_ready
from agatehoist.frontend.parsing import (
    PARTS_READERS_BY_PATH,
    parse_completion,
    wants_stream,
    wants_usage,
)
from agatehoist.frontend.rendering import (
    Envelope,
    render_delta,
    render_end,
    render_refusal,
    render_stream_error,
    render_whole,
)
from agatehoist.observability.http import health_routes
from agatehoist.observability.metrics import (
    IN_FLIGHT,
    OUTCOMES_TOTAL,
    REFUSALS_TOTAL,
    TTFT_SECONDS,
)
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import UnknownService
from agatehoist.router.dispatch import call, complete
from agatehoist.router.requests import CallRequest, Delta, Finished, Started

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Iterator

    from starlette.requests import Request

    from agatehoist.router.requests import CompletionRequest
    from agatehoist.router.state import RouterState

ENDPOINT_HEADER = "x-agatehoist-endpoint"
REQUEST_TIMEOUT_S = 60.0
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]

Event = Started | Delta | Finished


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
            *completions,
            models,
            services,
        ],
        exception_handlers={RequestRefusedError: frontend.refuse},
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
        """Answer a completion, whole or streamed."""
        organisation = authorise(self._state, request)
        body = await read_body(request)
        require_ready(self._state)
        decoded = parse_completion(
            request.url.path,
            body,
            organisation,
            self._state.configuration,
            self._state.clock.now() + REQUEST_TIMEOUT_S,
        )
        if wants_stream(body):
            return await self._stream(decoded)
        return await self._answer_whole(decoded)

    async def call(self, request: Request) -> Response:
        """Answer a service call."""
        organisation = authorise(self._state, request)
        body = await read_body(request)
        require_ready(self._state)
        with self._in_flight():
            answer = await call(
                self._state, self._decode_call(request, organisation, body)
            )
        OUTCOMES_TOTAL.inc({"outcome": "whole"})
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
        return CallRequest(organisation, name, work, idempotent, deadline)

    async def _answer_whole(self, request: CompletionRequest) -> Response:
        texts: list[str] = []
        host = ""
        with self._in_flight():
            async with aclosing(self._events(request)) as events:
                async for event in events:
                    if isinstance(event, Started):
                        host = event.host
                    elif isinstance(event, Delta):
                        texts.append(event.text)
                    else:
                        end = event
        body = render_whole(self._envelope(request), "".join(texts), end)
        return JSONResponse(body, headers={ENDPOINT_HEADER: host})

    async def _stream(self, request: CompletionRequest) -> Response:
        events = self._events(request)
        # The first event decides between a stream and a refusal with its status.
        started = await anext(events)
        assert isinstance(started, Started)
        return StreamingResponse(
            self._encode_stream(request, events),
            media_type="text/event-stream",
            headers={ENDPOINT_HEADER: started.host, "cache-control": "no-cache"},
        )

    async def _encode_stream(
        self, request: CompletionRequest, events: AsyncGenerator[Event]
    ) -> AsyncIterator[bytes]:
        envelope = self._envelope(request)
        with_usage = wants_usage(request.work.body)
        with self._in_flight():
            try:
                async with aclosing(events):
                    async for event in events:
                        yield _encode_event(envelope, event, with_usage)
            except RequestRefusedError as error:
                yield render_stream_error(error.refusal)

    async def _events(self, request: CompletionRequest) -> AsyncGenerator[Event]:
        asked_at = self._state.clock.now()
        outcome = "broken"
        async with aclosing(complete(self._state, request)) as events:
            try:
                async for event in events:
                    if isinstance(event, Started):
                        elapsed = self._state.clock.now() - asked_at
                        TTFT_SECONDS.add({"model": request.model}, elapsed)
                    if isinstance(event, Finished):
                        outcome = "whole"
                    yield event
            finally:
                OUTCOMES_TOTAL.inc({"outcome": outcome})

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


def _encode_event(envelope: Envelope, event: Any, with_usage: bool) -> bytes:
    if isinstance(event, Delta):
        return render_delta(envelope, event.text)
    return render_end(envelope, event, with_usage)
