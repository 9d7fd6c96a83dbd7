"""Client of a model engine with an OpenAI-compatible API."""

from __future__ import annotations

import json
from contextlib import aclosing
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import httpx

from agatehoist.core.byte_budget import ByteBudget, ByteBudgetExceededError
from agatehoist.core.json_text import read_json
from agatehoist.core.numbers import checked_integer
from agatehoist.core.tls import tls_context
from agatehoist.endpoints.engine_cache import EngineCacheClient
from agatehoist.endpoints.errors import (
    EndpointChangedError,
    EndpointError,
    EndpointFailedError,
    EndpointNotReachedError,
    EndpointRejectedError,
)
from agatehoist.endpoints.kinds import ENDPOINT_KINDS
from agatehoist.endpoints.types import EndpointStatus, EngineEnd, EngineTokens
from agatehoist.http1.errors import InvalidReplyError
from agatehoist.http1.event_stream import EventSplitter
from agatehoist.http1.exchange import (
    SINGLE_USE,
    UNENCODED,
    exchange,
    read_start,
    start_exchange,
)
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from agatehoist.core.byte_budget import BufferUsage
    from agatehoist.core.work import CompletionWork, Continuation

logger = get_logger("sidecar")

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 60.0
STATUS_TIMEOUT_S = 1.0
MAX_STATUS_BYTES = 64 * 1024
# Of an error reply no more is read or waited for, as its status says enough.
MAX_ERROR_BYTES = 4 * 1024
ERROR_TIMEOUT_S = 1.0
# The last event lists the blocks of the prompt.
MAX_EVENT_BYTES = 4 * 1024 * 1024
# Of the events of all streams that are being read; smaller ones always fit.
MAX_BUFFERED_BYTES = 12 * 1024 * 1024
SMALL_EVENT_BYTES = 64 * 1024
EVENT_PREFIX = "data: "
END_MARKER = "[DONE]"
INCARNATION_HEADER = "x-engine-incarnation"
VERSION_HEADER = "x-weights-version"
CHANGED = "the engine restarted or changed weights after the request was placed"
# An engine that has other weights refuses the request with status 421. One that doesn't
# know the header begins to fill its cache before the version in its reply is checked.
EXPECTED_VERSION_HEADER = b"x-expected-weights-version"

# Errors that JSON of another form than that of an event leads to.
INVALID_EVENT_ERRORS = (ValueError, KeyError, TypeError, AttributeError)

# Client errors that depend on the state of the engine rather than on the request, so
# that another engine may be able to run it.
_RETRIABLE_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.CONFLICT,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.TOO_MANY_REQUESTS,
    }
)


@ENDPOINT_KINDS.register("engine")
class EngineClient:
    """Run completions on one engine."""

    def __init__(self, url: str) -> None:
        self._budget = ByteBudget(MAX_BUFFERED_BYTES, SMALL_EVENT_BYTES)
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._http = httpx.AsyncClient(
            base_url=url,
            timeout=timeout,
            limits=SINGLE_USE,
            verify=tls_context(url),
            headers=UNENCODED,
        )
        self.cache = EngineCacheClient(self._http)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def status(self) -> EndpointStatus:
        """Return the engine's incarnation, weights version and number of running jobs.

        Raises EndpointNotReachedError.
        """
        try:
            reply = await exchange(
                self._http, "GET", "/status", MAX_STATUS_BYTES, STATUS_TIMEOUT_S
            )
            if reply.head.status != HTTPStatus.OK:
                raise ValueError(f"status {reply.head.status}")
            fields = read_json(reply.body)
            incarnation, version = fields["incarnation"], fields["weights_version"]
            running = checked_integer(fields.get("running", 0))
            if not isinstance(incarnation, str) or not isinstance(version, str):
                raise TypeError("incarnation or weights version is not a string")
            if running is None:
                raise TypeError("number of running jobs is not a count")
            return EndpointStatus(incarnation, version, running)
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise EndpointNotReachedError(
                f"status request failed: {error!r}"
            ) from error

    async def complete(
        self,
        work: CompletionWork,
        cache_salt: str,
        priority: int,
        expected_status: EndpointStatus,
    ) -> AsyncIterator[EngineTokens | EngineEnd]:
        """Yield the tokens of a completion, then its end.

        Raises EndpointError.
        """
        body = _engine_body(work, cache_salt, priority)
        headers = {EXPECTED_VERSION_HEADER: expected_status.weights_version.encode()}
        request = self._http.build_request(
            "POST", work.path, json=body, headers=headers
        )
        try:
            response = await start_exchange(self._http, request, READ_TIMEOUT_S)
            async with aclosing(response):
                if not response.is_success:
                    raise await _error_for_response(response)
                _check_identity(response, expected_status)
                # Only its status tells what an engine without these headers runs.
                is_stated = VERSION_HEADER in response.headers
                if not is_stated:
                    await self._check_status(expected_status)
                with self._budget.track_buffer() as usage:
                    async for event in _read_events(response, usage):
                        if isinstance(event, EngineEnd) and not is_stated:
                            await self._check_status(expected_status)
                        yield event
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointNotReachedError(
                f"could not connect to the engine: {error!r}"
            ) from error
        except (
            httpx.HTTPError,
            InvalidReplyError,
            ByteBudgetExceededError,
            *INVALID_EVENT_ERRORS,
        ) as error:
            raise EndpointFailedError(
                f"completion request to the engine failed: {error!r}"
            ) from error

    async def _check_status(self, expected_status: EndpointStatus) -> None:
        """Check that the engine is as expected, unless it doesn't tell.

        Raises EndpointFailedError.
        """
        try:
            status = await self.status()
        except EndpointNotReachedError as error:
            logger.info("engine not checked", reason=str(error))
            return
        if status != expected_status:
            raise EndpointFailedError(CHANGED)


def _engine_body(
    work: CompletionWork, cache_salt: str, priority: int
) -> dict[str, Any]:
    body = json.loads(work.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["cache_salt"] = cache_salt
    body["priority"] = int(priority)
    if work.continuation is not None:
        _add_continuation(work.continuation, work.max_tokens, body)
    return body


def _add_continuation(
    continuation: Continuation, max_tokens: int, body: dict[str, Any]
) -> None:
    body.pop("max_completion_tokens", None)
    body["max_tokens"] = max_tokens - continuation.tokens
    body["continuation"] = {"text": continuation.text, "tokens": continuation.tokens}


def _check_identity(response: httpx.Response, expected_status: EndpointStatus) -> None:
    expected_by_header = {
        INCARNATION_HEADER: expected_status.incarnation,
        VERSION_HEADER: expected_status.weights_version,
    }
    # An engine that doesn't send a header isn't checked.
    for header, expected in expected_by_header.items():
        if response.headers.get(header, expected) != expected:
            raise EndpointFailedError(CHANGED)


async def _error_for_response(response: httpx.Response) -> EndpointError:
    start = await read_start(response, MAX_ERROR_BYTES, ERROR_TIMEOUT_S)
    text = start.decode(errors="replace")
    detail = f"engine answered {response.status_code}: {text}"
    if response.status_code == HTTPStatus.MISDIRECTED_REQUEST:
        return EndpointChangedError(detail)
    if response.status_code in _RETRIABLE_STATUSES or not response.is_client_error:
        return EndpointFailedError(detail)
    return EndpointRejectedError(detail)


async def _read_events(
    response: httpx.Response, buffer_usage: BufferUsage
) -> AsyncIterator[EngineTokens | EngineEnd]:
    finish_reason = ""
    usage: dict[str, Any] | None = None
    splitter = EventSplitter(MAX_EVENT_BYTES)
    async for data in response.aiter_raw():
        stream_events = splitter.feed(data)
        buffer_usage.set_bytes(splitter.remainder_bytes)
        payloads = (each for event in stream_events for each in _payloads(event.data))
        events = [read_json(each.encode()) for each in payloads]
        # Each event with a text counts as one token.
        texts = tuple(filter(None, map(_text_of, events)))
        if texts:
            yield EngineTokens(texts)
        for event in events:
            finish_reason = _finish_reason_of(event) or finish_reason
            usage = event.get("usage") or usage
    splitter.finish()
    if usage is None or not finish_reason:
        raise EndpointFailedError(
            "the engine's stream ended without a finish reason or usage"
        )
    details = usage.get("prompt_tokens_details") or {}
    cached_tokens = details.get("cached_tokens", 0)
    block_hashes = tuple(details.get("block_hashes", ()))
    yield EngineEnd(finish_reason, usage["prompt_tokens"], cached_tokens, block_hashes)


def _payloads(event: bytes) -> Iterator[str]:
    for line in event.decode().split("\n"):
        payload = line.removeprefix(EVENT_PREFIX).strip()
        if line.startswith(EVENT_PREFIX) and payload != END_MARKER:
            yield payload


def _text_of(event: dict[str, Any]) -> str:
    for choice in event.get("choices", ()):
        if "delta" in choice:
            return choice["delta"].get("content") or ""
        return choice.get("text") or ""
    return ""


def _finish_reason_of(event: dict[str, Any]) -> str:
    for choice in event.get("choices", ()):
        return choice.get("finish_reason") or ""
    return ""
