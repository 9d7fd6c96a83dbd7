"""Translation of callers' requests into envelopes and into endpoint requests.

An envelope is a parsed request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.units import MS_PER_S
from agatehoist.http1.types import RequestHead
from agatehoist.platform import names
from agatehoist.platform.priorities import encode_priority
from agatehoist.refusals.kinds import InvalidParameter
from agatehoist.routing.types import Envelope, Prompt, PromptPart

if TYPE_CHECKING:
    from agatehoist.gateway.types import Dispatch
    from agatehoist.http1.types import Request
    from agatehoist.routing.types import RoutedRequest

MAX_REQUEST_ID_BYTES = 128
MAX_PROMPT_PARTS = 256
# Larger numbers of tokens are no prompt's; loads are computed from them as floats.
MAX_TOKEN_DIGITS = 9
# Least time that is stated to an endpoint, also if the deadline has passed. An endpoint
# replies shortly before the deadline, since later replies are of no use.
MIN_TIME_LEFT_MS = 1


def request_id(head: RequestHead) -> str | None:
    """Return the id of a caller's request, shortened, or None if it has none."""
    values = head.values(names.REQUEST_ID)
    return (
        values[0][:MAX_REQUEST_ID_BYTES].decode("ascii", "replace") if values else None
    )


def read_envelope(request: Request) -> Envelope:
    """Parse a caller's request into an envelope.

    Raises RequestRefusedError.
    """
    head = request.head
    id_value = _single_value(head, names.REQUEST_ID)
    if not id_value or len(id_value) > MAX_REQUEST_ID_BYTES:
        raise InvalidParameter.refuse("the request id is missing or too long")
    target = head.target.decode("ascii", "replace")
    if not target.startswith("/"):
        raise InvalidParameter.refuse(f"target {target!r:.80} is not a path")
    return Envelope(
        request_id=id_value.decode("ascii", "replace"),
        method=head.method,
        target=head.target,
        host=_parse_host(head),
        path=target.partition("?")[0],
        keys=head.values(names.API_KEY),
        headers=_forwarded_headers(head),
        body=request.body,
        received_at=request.received_at,
        caller_deadline=_parse_deadline(head, request.received_at),
        prompt=_parse_prompt(head),
        last_event_id=_single_value(head, names.LAST_EVENT_ID),
        resumed_request_id=_parse_resumed_request_id(head),
    )


def dispatched_head(
    request: RoutedRequest, dispatch: Dispatch, now: float
) -> RequestHead:
    """Return the request head to send to an endpoint."""
    envelope = request.envelope
    time_left_ms = max(MIN_TIME_LEFT_MS, int((request.deadline - now) * MS_PER_S))
    added_headers = [
        (names.TIME_LEFT_MS, str(time_left_ms)),
        (names.EXPECTED_ENDPOINT, dispatch.endpoint.name),
    ]
    if request.organisation is not None:
        added_headers.append((names.ORGANISATION, request.organisation.name))
    if envelope.prompt is not None:
        added_headers += _prompt_headers(dispatch)
    last_event_id = dispatch.last_event_id
    headers = [*envelope.headers]
    headers += [(name, value.encode()) for name, value in added_headers]
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, last_event_id))
    if envelope.body or envelope.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", str(len(envelope.body)).encode()))
    return RequestHead(envelope.method, envelope.target, tuple(headers))


def _prompt_headers(dispatch: Dispatch) -> list[tuple[bytes, str]]:
    headers = [
        (names.CACHE_SALT, dispatch.salt),
        (
            names.PRIORITY,
            str(encode_priority(dispatch.priority, dispatch.interruptible)),
        ),
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


def _forwarded_headers(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    not_forwarded = {names.API_KEY, names.TIME_LEFT_MS, names.LAST_EVENT_ID}
    for value in head.values(b"connection"):
        not_forwarded.update(each.strip().lower() for each in value.split(b","))
    # A Connection header must not remove these two, which endpoints need.
    not_forwarded -= {b"host", names.REQUEST_ID}
    excluded = not_forwarded | names.SYSTEM_HEADERS | names.HOP_BY_HOP_HEADERS
    return tuple(each for each in head.headers if each[0] not in excluded)


def _single_value(head: RequestHead, name: bytes) -> bytes | None:
    values = head.values(name)
    if len(values) > 1:
        raise InvalidParameter.refuse(f"header {name.decode()} is given more than once")
    return values[0] if values else None


def _parse_resumed_request_id(head: RequestHead) -> str | None:
    value = _single_value(head, names.RESUMED_REQUEST_ID)
    return None if value is None else value.decode("ascii", "replace")


def _parse_host(head: RequestHead) -> str:
    host = (_single_value(head, b"host") or b"").decode("ascii", "replace").lower()
    return host.partition(":")[0]


def _parse_deadline(head: RequestHead, received_at: float) -> float | None:
    value = _single_value(head, names.TIME_LEFT_MS)
    if value is None:
        return None
    try:
        time_left_ms = float(value)
    except ValueError:
        raise InvalidParameter.refuse(
            f"x-agatehoist-deadline-ms {value!r:.40} is not a number"
        ) from None
    if not 0 <= time_left_ms < float("inf"):
        raise InvalidParameter.refuse(
            f"x-agatehoist-deadline-ms {value!r:.40} is out of range"
        )
    return received_at + time_left_ms / MS_PER_S


def _parse_prompt(head: RequestHead) -> Prompt | None:
    model = _single_value(head, names.MODEL)
    if model is None:
        return None
    counts = (_single_value(head, names.TOKEN_COUNT) or b"").decode("ascii", "replace")
    prompt_tokens, comma, max_output_tokens = counts.partition(",")
    if not comma:
        raise InvalidParameter.refuse(
            f"x-agatehoist-token-count {counts!r:.40} is not two numbers of tokens"
        )
    listed_parts = (_single_value(head, names.PROMPT_PARTS) or b"").decode(
        "ascii", "replace"
    )
    parts = tuple(_parse_part(each) for each in listed_parts.split(",") if each.strip())
    if len(parts) > MAX_PROMPT_PARTS:
        raise InvalidParameter.refuse(f"prompt has more than {MAX_PROMPT_PARTS} parts")
    return Prompt(
        model.decode("ascii", "replace"),
        parts,
        _parse_tokens("x-agatehoist-token-count", prompt_tokens),
        _parse_tokens("x-agatehoist-token-count", max_output_tokens),
    )


def _parse_part(text: str) -> PromptPart:
    # The format is ID:TOKENS.
    part_id, _, tokens = text.strip().partition(":")
    return PromptPart(part_id, _parse_tokens("x-agatehoist-prompt-prefix", tokens))


def _parse_tokens(name: str, text: str) -> int:
    digits = text.strip()
    is_number = digits.isascii() and digits.isdigit()
    if not is_number or len(digits) > MAX_TOKEN_DIGITS:
        raise InvalidParameter.refuse(
            f"{name}: {digits!r:.40} is not a number of tokens "
            f"of at most {MAX_TOKEN_DIGITS} digits"
        )
    return int(digits)
