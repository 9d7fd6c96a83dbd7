"""Exchanges through httpx with limits on the bytes and the time of a reply."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from agatehoist.core.byte_budget import ByteBudget, ByteBudgetExceededError
from agatehoist.http1.channel import has_undelivered
from agatehoist.http1.types import MAX_STATUS, Reply, ReplyHead

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from agatehoist.core.byte_budget import BufferUsage

# Limits hold for the bytes on the wire, and the end of compressed data isn't checked.
UNENCODED: Mapping[str, str] = {"accept-encoding": "identity"}
# Replies of endpoints don't name their requests, so a second copy of a reply would be
# taken for the reply to the next request on the connection.
SINGLE_USE = httpx.Limits(max_connections=None, max_keepalive_connections=0)


async def exchange(
    http: httpx.AsyncClient,
    method: str,
    path: str,
    max_bytes: int,
    timeout_s: float,
    budget: ByteBudget | None = None,
    **options: Any,
) -> Reply:
    """Send a request and return the complete reply; its body isn't decoded.

    While it is read, the body counts against the budget, and may be evicted.

    Raises httpx.HTTPError.
    """
    request = http.build_request(method, path, **options)
    scope = anyio.CancelScope()
    budget = budget or ByteBudget(max_bytes)
    try:
        with (
            anyio.fail_after(timeout_s),
            budget.track_buffer(evict=scope.cancel) as usage,
            scope,
        ):
            response = await _send(http, request)
            usage.is_bounded = "content-length" in response.headers
            try:
                body = await _read_body(response, max_bytes, usage)
                return Reply(_head(response), body)
            finally:
                await response.aclose()
        raise httpx.RemoteProtocolError(
            f"{method} {path}: evicted for other replies", request=request
        )
    except TimeoutError as error:
        raise httpx.ReadTimeout(
            f"{method} {path}: no complete reply within {timeout_s} s", request=request
        ) from error


async def start_exchange(
    http: httpx.AsyncClient, request: httpx.Request, timeout_s: float
) -> httpx.Response:
    """Send a request and return the response, once its head has arrived.

    Raises httpx.HTTPError.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await _send(http, request)
    except TimeoutError as error:
        raise httpx.ReadTimeout(
            f"{request.method} {request.url.path}: no head within {timeout_s} s",
            request=request,
        ) from error


async def read_start(
    response: httpx.Response, max_bytes: int, timeout_s: float
) -> bytes:
    """Return the first bytes of a body, those that arrive in time.

    Raises httpx.HTTPError.
    """
    body = bytearray()
    with anyio.move_on_after(timeout_s):
        async for data in response.aiter_raw():
            body += data
            if len(body) >= max_bytes:
                break
    return bytes(body[:max_bytes])


async def read_lines(response: httpx.Response, max_bytes: int) -> AsyncIterator[bytes]:
    """Yield the whole lines of a body, without their ends.

    Raises httpx.HTTPError, also if a line is over the limit.
    """
    remainder = bytearray()
    async for data in response.aiter_raw():
        remainder += data
        if b"\n" in data:
            *lines, remainder = remainder.split(b"\n")
            for line in lines:
                yield bytes(line)
        if len(remainder) > max_bytes:
            raise _invalid(response, f"line exceeds {max_bytes} bytes")


async def _send(http: httpx.AsyncClient, request: httpx.Request) -> httpx.Response:
    """Send a request and return the response, whose status is one of HTTP.

    Raises httpx.HTTPError.
    """
    response = await http.send(request, stream=True)
    if response.status_code > MAX_STATUS:
        await response.aclose()
        raise httpx.RemoteProtocolError(
            f"{request.method} {request.url.path}: "
            f"invalid status {response.status_code}",
            request=request,
        )
    return response


async def _read_body(
    response: httpx.Response, max_bytes: int, usage: BufferUsage
) -> bytes:
    body = bytearray()
    # Other ways to read it close the connection before its end can be checked.
    assert isinstance(response.stream, httpx.AsyncByteStream)
    try:
        async for data in response.stream:
            if len(body) + len(data) > max_bytes:
                raise _invalid(response, f"body exceeds {max_bytes} bytes")
            usage.add_bytes(len(data))
            body += data
        if _is_cut(response):
            raise _invalid(response, "ended before its request had arrived")
        return bytes(body)
    except ByteBudgetExceededError as error:
        raise _invalid(response, str(error)) from error
    finally:
        # The traceback of an error would keep it in memory.
        body.clear()


def _is_cut(response: httpx.Response) -> bool:
    """Return whether a success without a length has ended before its request arrived.

    The end of the connection ends it, and acknowledges a request that was read.
    """
    has_body = response.is_success and response.status_code != HTTPStatus.NO_CONTENT
    stream = response.extensions.get("network_stream")
    if not has_body or response.request.method == "HEAD" or stream is None:
        return False
    if _head(response).has_framing:
        return False
    sock = stream.get_extra_info("socket")
    # A socket that the event loop has closed after a failure has no descriptor.
    return sock is not None and (sock.fileno() < 0 or has_undelivered(sock))


def _head(response: httpx.Response) -> ReplyHead:
    headers = tuple((name.lower(), value) for name, value in response.headers.raw)
    return ReplyHead(response.status_code, headers)


def _invalid(response: httpx.Response, reason: str) -> httpx.HTTPError:
    request = response.request
    return httpx.RemoteProtocolError(
        f"{request.method} {request.url.path}: {reason}", request=request
    )
