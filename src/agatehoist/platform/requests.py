"""Requests of callers as envelopes, and as endpoints take them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.units import MS_PER_S
from agatehoist.http1.types import RequestHead
from agatehoist.platform import names
from agatehoist.platform.priorities import encode
from agatehoist.refusals.kinds import InvalidParameter
from agatehoist.routing.types import Envelope, Prompt, PromptPart

if TYPE_CHECKING:
    from agatehoist.gateway.types import Dispatch
    from agatehoist.http1.types import Request
    from agatehoist.routing.types import RoutedRequest

MAX_ID_BYTES = 128
MAX_PARTS = 256
# A runner answers a little before the time at which its answer is worth nothing.
MIN_TIME_LEFT_MS = 1


def read_envelope(request: Request) -> Envelope:
    """Return what a request says about itself.

    Raises RequestRefusedError.
    """
    head = request.head
    request_id = _single(head, names.REQUEST_ID)
    if not request_id or len(request_id) > MAX_ID_BYTES:
        raise InvalidParameter.refuse("the request carries no usable id")
    target = head.target.decode("ascii", "replace")
    if not target.startswith("/"):
        raise InvalidParameter.refuse(f"target {target!r:.80} is no path")
    return Envelope(
        request_id=request_id.decode("ascii", "replace"),
        method=head.method,
        target=head.target,
        host=_host_of(head),
        path=target.partition("?")[0],
        keys=head.values(names.KEY),
        headers=_forwarded(head),
        body=request.body,
        received_at=request.received_at,
        caller_deadline=_deadline_of(head, request.received_at),
        prompt=_prompt_of(head),
        last_event_id=_single(head, names.LAST_EVENT_ID),
    )


def dispatched_head(
    request: RoutedRequest, dispatch: Dispatch, now: float
) -> RequestHead:
    """Return the head that an endpoint gets."""
    envelope = request.envelope
    left_ms = max(MIN_TIME_LEFT_MS, int((request.deadline - now) * MS_PER_S))
    set_here = [
        (names.TIME_LEFT_MS, str(left_ms)),
        (names.EXPECTED_ENDPOINT, dispatch.endpoint.name),
    ]
    if request.organisation is not None:
        set_here.append((names.ORGANISATION, request.organisation.name))
    if envelope.prompt is not None:
        set_here += _prompt_headers(dispatch)
    last_event_id = dispatch.last_event_id
    headers = [*envelope.headers]
    headers += [(name, value.encode()) for name, value in set_here]
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, last_event_id))
    if envelope.body or envelope.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", str(len(envelope.body)).encode()))
    return RequestHead(envelope.method, envelope.target, tuple(headers))


def _prompt_headers(dispatch: Dispatch) -> list[tuple[bytes, str]]:
    headers = [
        (names.CACHE_SALT, dispatch.salt),
        (names.PRIORITY, str(encode(dispatch.priority, dispatch.interruptible))),
    ]
    if dispatch.weights_version:
        headers.append((names.EXPECTED_WEIGHTS, str(dispatch.weights_version)))
    if dispatch.cache_fetch_address:
        headers.append((names.FETCH_CACHE_FROM, dispatch.cache_fetch_address))
    if dispatch.continued_run:
        headers.append((names.CONTINUED_RUN, dispatch.continued_run))
    if dispatch.cache_save_address:
        headers.append((names.SAVE_CACHE_TO, dispatch.cache_save_address))
    return headers


def _forwarded(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    own = {names.KEY, names.TIME_LEFT_MS, names.LAST_EVENT_ID}
    for value in head.values(b"connection"):
        own.update(each.strip().lower() for each in value.split(b","))
    own -= {b"host", names.REQUEST_ID}
    left_out = own | names.SYSTEM_HEADERS | names.CONNECTION_HEADERS
    return tuple(each for each in head.headers if each[0] not in left_out)


def _single(head: RequestHead, name: bytes) -> bytes | None:
    values = head.values(name)
    if len(values) > 1:
        raise InvalidParameter.refuse(f"header {name.decode()} is given twice")
    return values[0] if values else None


def _host_of(head: RequestHead) -> str:
    host = (_single(head, b"host") or b"").decode("ascii", "replace").lower()
    return host.partition(":")[0]


def _deadline_of(head: RequestHead, received_at: float) -> float | None:
    value = _single(head, names.TIME_LEFT_MS)
    if value is None:
        return None
    try:
        left_ms = float(value)
    except ValueError:
        raise InvalidParameter.refuse(f"time left {value!r:.40} is no number") from None
    if not 0 <= left_ms < float("inf"):
        raise InvalidParameter.refuse(f"time left {value!r:.40} is out of range")
    return received_at + left_ms / MS_PER_S


def _prompt_of(head: RequestHead) -> Prompt | None:
    model = _single(head, names.MODEL)
    if model is None:
        return None
    counts = (_single(head, names.TOKEN_COUNT) or b"").decode("ascii", "replace")
    listed = (_single(head, names.PROMPT_PARTS) or b"").decode("ascii", "replace")
    try:
        prompt_tokens, max_output_tokens = (int(each) for each in counts.split(","))
        parts = tuple(_part(each) for each in listed.split(",") if each.strip())
    except ValueError:
        raise InvalidParameter.refuse("the prompt's tokens can't be read") from None
    if len(parts) > MAX_PARTS:
        raise InvalidParameter.refuse(f"more than {MAX_PARTS} parts of a prompt")
    return Prompt(
        model.decode("ascii", "replace"), parts, prompt_tokens, max_output_tokens
    )


def _part(text: str) -> PromptPart:
    part_id, _, tokens = text.strip().partition(":")
    return PromptPart(part_id, int(tokens))
