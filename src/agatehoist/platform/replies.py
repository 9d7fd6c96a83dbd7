"""Interpretation of endpoints' replies, and replies for refusals."""

from __future__ import annotations

import json
import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.core.numbers import MAX_INTEGER, read_integer
from agatehoist.core.work import Run
from agatehoist.fleet.statements import MAX_LIMIT_PER_S, Statement
from agatehoist.http1.errors import InvalidReplyError
from agatehoist.http1.types import Reply, ReplyHead
from agatehoist.observability.logs import get_logger
from agatehoist.platform import names
from agatehoist.refusals.kinds import REFUSALS

if TYPE_CHECKING:
    from agatehoist.http1.types import Headers
    from agatehoist.refusals.types import Refusal

logger = get_logger("platform")

# Statuses with which an endpoint that turns a request away may ask for time.
STATUSES_WITH_PAUSE = frozenset({429, 503})
# Statuses from which a caller concludes that its request did not run or is invalid.
STATUSES_FOR_NOT_RUN = frozenset({400, 401, 404, 408, 413, 429, 431, 503})
MIN_RETRY_AFTER_S = 0.05


def is_not_executed(head: ReplyHead) -> bool:
    """Return whether an endpoint states that it didn't run the request.

    Status 421 means that another endpoint or another weights version was expected.
    """
    return (
        head.value(names.NOT_EXECUTED) is not None
        or head.status == HTTPStatus.MISDIRECTED_REQUEST
    )


def answered_request_id(head: ReplyHead) -> str | None:
    """Return the request id in a reply, or None if it has none."""
    value = head.value(names.REQUEST_ID)
    return None if value is None else value.decode("ascii", "replace")


def weights_version(head: ReplyHead) -> int:
    """Return the weights version that a reply states, or 0."""
    value = head.value(names.WEIGHTS_VERSION)
    if value is None:
        return 0
    version = read_integer(value)
    if version is None:
        _note_ignored(names.WEIGHTS_VERSION, value)
        return 0
    return version


def check_success(head: ReplyHead) -> None:
    """Check that a successful reply carries the endpoint's stamp and isn't encoded.

    Raises InvalidReplyError.
    """
    if head.status >= HTTPStatus.MULTIPLE_CHOICES:
        return
    if head.value(names.ENDPOINT_STAMP) is None:
        raise InvalidReplyError(f"status {head.status} without the endpoint's stamp")
    if head.value(b"content-encoding") is not None:
        raise InvalidReplyError(
            "the body has a content encoding that was not requested"
        )


def read_statement(head: ReplyHead, now: float) -> Statement | None:
    """Return what the endpoint says of itself in a reply.

    Returns None if another endpoint may have replied, at an address that it took over.
    """
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return None
    retry_after_s = None
    if head.status in STATUSES_WITH_PAUSE:
        retry_after_s = _read_number(head, b"retry-after")
    return Statement(
        limit_per_s=_read_number(head, names.REQUEST_LIMIT_PER_S, MAX_LIMIT_PER_S),
        leaving=head.value(names.LEAVING) == b"1",
        paused_until=None if retry_after_s is None else now + retry_after_s,
    )


def _read_number(
    head: ReplyHead, name: bytes, most: float = MAX_INTEGER
) -> float | None:
    """Return a header with a number from 0 to `most`, or None."""
    value = head.value(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not 0 <= number <= most:
        _note_ignored(name, value)
        return None
    return number


def _note_ignored(name: bytes, value: bytes) -> None:
    logger.info("header is not a number, ignored", header=name, value=value[:40])


def idle_limit_s(head: ReplyHead) -> float | None:
    """Return the endpoint's keep-alive timeout, or None if it states none."""
    if b"close" in (head.value(b"connection") or b"").lower():
        return 0.0
    for each in (head.value(b"keep-alive") or b"").split(b","):
        name, _, seconds = each.strip().partition(b"=")
        if name == b"timeout" and (timeout_s := read_integer(seconds)) is not None:
            return float(timeout_s)
    return None


def returned_headers(head: ReplyHead) -> Headers:
    """Return an endpoint's headers without the hop-by-hop ones."""
    excluded = names.HOP_BY_HOP_HEADERS
    return tuple(each for each in head.headers if each[0] not in excluded)


def refusal_reply(refusal: Refusal, request_id: str | None, now: float) -> Reply:
    """Return the HTTP reply for a refusal."""
    status = int(REFUSALS[refusal.code].status)
    if refusal.run is Run.NO and status not in STATUSES_FOR_NOT_RUN:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    if refusal.run is not Run.NO and status in STATUSES_FOR_NOT_RUN:
        status = HTTPStatus.BAD_GATEWAY
    headers: list[tuple[bytes, bytes]] = [(b"content-type", b"application/json")]
    if request_id is not None:
        headers.append((names.REQUEST_ID, request_id.encode("ascii", "replace")))
    if refusal.retry_at is not None and refusal.run is Run.NO:
        after_s = max(MIN_RETRY_AFTER_S, refusal.retry_at - now)
        headers.append((b"retry-after", f"{after_s:.2f}".encode()))
    error = {"code": refusal.code, "detail": refusal.detail, "run": refusal.run}
    body = json.dumps({"error": error}).encode()
    return Reply(ReplyHead(status, tuple(headers)), body)
