"""HTTP routes of a router for its callers."""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing, contextmanager
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agatehoist.core.work import CallWork, Run
from agatehoist.frontend.access import (
    authenticate,
    read_body,
    read_idempotency_key,
    require_ready_and_below_limit,
)
from agatehoist.frontend.closing_response import ClosingResponse
from agatehoist.frontend.completion_parser import (
    PROMPT_READERS_BY_PATH,
    parse_completion,
)
from agatehoist.frontend.disconnect import run_while_connected
from agatehoist.frontend.request_measurement import measure_request
from agatehoist.frontend.responses import (
    AnswerFields,
    render_complete_answer,
    render_delta,
    render_refusal,
    render_stream_end,
    render_stream_error,
)
from agatehoist.frontend.resumable_completion import ResumableCompletion
from agatehoist.frontend.resume_point import (
    RESUME_HEADER,
    decode_resume_point,
)
from agatehoist.observability.http import health_routes
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    IN_FLIGHT,
    REFUSALS_TOTAL,
)
from agatehoist.operators.routes import operator_routes
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import UnknownService, internal_fault
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

    from agatehoist.frontend.resumable_completion import Event
    from agatehoist.router.state import RouterState

logger = get_logger("frontend")

ENDPOINT_HEADER = "x-agatehoist-endpoint"
# From the end of the body to the end of the work, also for a stream or a resume.
REQUEST_DEADLINE_S = 60.0
STATUS_CLIENT_CLOSED_REQUEST = 499
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


def make_app(state: RouterState) -> Starlette:
    """Return the ASGI application of a router."""
    frontend = Frontend(state)
    completions = [
        Route(path, frontend.complete, methods=["POST"])
        for path in PROMPT_READERS_BY_PATH
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
            RequestRefusedError: frontend.handle_refusal,
            Exception: frontend.handle_exception,
        },
    )


class Frontend:
    """Handle the HTTP requests of callers."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    async def handle_refusal(self, _request: Request, error: Exception) -> Response:
        """Return the error response of a refusal."""
        assert isinstance(error, RequestRefusedError)
        refusal = error.refusal
        REFUSALS_TOTAL.inc({"code": refusal.code, "run": str(refusal.run)})
        return render_refusal(refusal, self._state.clock.now())

    async def handle_exception(self, _request: Request, error: Exception) -> Response:
        """Return the error response after an unexpected exception."""
        logger.error("request failed", exc_info=error)
        return render_refusal(internal_fault(Run.UNKNOWN), self._state.clock.now())

    async def list_models(self, request: Request) -> Response:
        """Return the configured models."""
        authenticate(self._state, request)
        names = self._state.configuration.models_by_name
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "agatehoist"}
            for name in names
        ]
        return JSONResponse({"object": "list", "data": models})

    async def complete(self, request: Request) -> Response:
        """Return a completion, as JSON or as a stream, or resume one."""
        organisation = authenticate(self._state, request)
        body = await read_body(self._state, request, organisation)
        require_ready_and_below_limit(self._state)
        parsed = parse_completion(
            request.url.path,
            body,
            organisation,
            self._state.configuration,
            self._state.clock.now() + REQUEST_DEADLINE_S,
        )
        encoded_point = request.headers.get(RESUME_HEADER)
        completion = ResumableCompletion(
            parsed.request,
            decode_resume_point(encoded_point) if encoded_point else None,
            parsed.with_usage,
        )
        try:
            async with AsyncExitStack() as exit_stack:
                exit_stack.enter_context(self._in_flight())
                if parsed.stream:
                    return await self._stream_response(request, completion, exit_stack)
                return await self._json_response(request, completion)
        except ClientDisconnect:
            return Response(status_code=STATUS_CLIENT_CLOSED_REQUEST)

    async def call(self, request: Request) -> Response:
        """Run a service call and return its answer."""
        organisation = authenticate(self._state, request)
        body = await read_body(self._state, request, organisation)
        require_ready_and_below_limit(self._state)
        parsed = self._parse_call(request, organisation, body)
        with (
            self._in_flight(),
            measure_request(self._state, organisation, parsed.service),
        ):
            answer = await call(self._state, parsed)
        headers = {**answer.headers_by_name, ENDPOINT_HEADER: answer.host}
        return Response(answer.body, answer.status, headers)

    def _parse_call(
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
        deadline = self._state.clock.now() + REQUEST_DEADLINE_S
        idempotency_key = None if idempotent else read_idempotency_key(request)
        return CallRequest(
            organisation, name, work, idempotent, deadline, idempotency_key
        )

    async def _json_response(
        self, request: Request, completion: ResumableCompletion
    ) -> Response:
        async def collect() -> Response:
            texts: list[str] = []
            async with aclosing(self._events(completion)) as events:
                async for event in events:
                    if isinstance(event, Started):
                        host = event.target.host
                    elif isinstance(event, Delta):
                        texts.append(event.text)
                    else:
                        end = event
            body = render_complete_answer(
                self._answer_fields(completion.request), "".join(texts), end
            )
            return JSONResponse(body, headers={ENDPOINT_HEADER: host})

        return await run_while_connected(request, collect)

    async def _stream_response(
        self,
        request: Request,
        completion: ResumableCompletion,
        exit_stack: AsyncExitStack,
    ) -> Response:
        events = await exit_stack.enter_async_context(
            aclosing(self._events(completion))
        )
        # Wait for the first event: a refusal before it still gets its HTTP status.
        started = await run_while_connected(request, lambda: anext(events))
        assert isinstance(started, Started)
        headers = {
            ENDPOINT_HEADER: started.target.host,
            RESUME_HEADER: completion.resume_point_at(started.target, completion.first),
            "cache-control": "no-cache",
        }
        return ClosingResponse(
            self._encode_stream(completion, events), headers, exit_stack.pop_all()
        )

    async def _encode_stream(
        self, completion: ResumableCompletion, events: AsyncGenerator[Event]
    ) -> AsyncIterator[bytes]:
        answer_fields = self._answer_fields(completion.request)
        try:
            async for event in events:
                if isinstance(event, Delta):
                    point = completion.resume_point_at(event.target, event.until)
                    yield render_delta(answer_fields, event.text, point)
                elif isinstance(event, Finished):
                    yield render_stream_end(answer_fields, event, completion.with_usage)
        except RequestRefusedError as error:
            yield render_stream_error(error.refusal)
        except Exception:
            logger.exception("request failed")
            yield render_stream_error(internal_fault(Run.UNKNOWN))

    async def _events(self, completion: ResumableCompletion) -> AsyncGenerator[Event]:
        request = completion.request
        with measure_request(
            self._state, request.organisation, request.model
        ) as measurement:
            async with aclosing(completion.events(self._state)) as events:
                async for event in events:
                    measurement.record_event(event)
                    yield event

    def _answer_fields(self, request: CompletionRequest) -> AnswerFields:
        now = self._state.clock.now()
        # Only a unique id; it names no attempt.
        answer_id = f"cmpl-{self._state.next_attempt_id()}"
        return AnswerFields(request.work.path, answer_id, int(now), request.model)

    @contextmanager
    def _in_flight(self) -> Iterator[None]:
        with self._state.in_flight.track():
            IN_FLIGHT.inc({})
            try:
                yield
            finally:
                IN_FLIGHT.dec({})
