"""Answers of endpoints as outcomes, and refusals as callers take them."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.core.work import Run
from agatehoist.http1.errors import AnswerGarbledError
from agatehoist.http1.types import Reply, ReplyHead
from agatehoist.platform import names
from agatehoist.refusals.kinds import REFUSALS

if TYPE_CHECKING:
    from agatehoist.http1.types import Headers
    from agatehoist.refusals.types import Refusal

# Statuses that a caller takes as a promise that nothing ran, or as its own fault.
TRUTHFUL_WHEN_NOT_RUN = frozenset({400, 401, 404, 408, 413, 429, 431, 503})
MIN_RETRY_AFTER_S = 0.05


def not_executed(head: ReplyHead) -> bool:
    """Say whether an endpoint states that it didn't run the request."""
    return (
        head.value(names.NOT_EXECUTED) is not None
        or head.status == HTTPStatus.MISDIRECTED_REQUEST
    )


def answered_id(head: ReplyHead) -> str | None:
    """Return the id of the request that an answer belongs to, if it names one."""
    value = head.value(names.REQUEST_ID)
    return None if value is None else value.decode("ascii", "replace")


def weights_version(head: ReplyHead) -> int:
    """Return the weights version that an answer names, or 0."""
    value = head.value(names.WEIGHTS) or b""
    return int(value) if value.isdigit() else 0


def check_success(head: ReplyHead) -> None:
    """Check that a success is an endpoint's own.

    Raises AnswerGarbledError.
    """
    if head.status >= HTTPStatus.MULTIPLE_CHOICES:
        return
    if head.value(names.ENDPOINT_STAMP) is None:
        raise AnswerGarbledError(f"status {head.status} without the endpoint's stamp")
    if head.value(b"content-encoding") is not None:
        raise AnswerGarbledError("the body is encoded, which nobody asked for")


def idle_limit_s(head: ReplyHead) -> float | None:
    """Return how long the endpoint keeps an idle connection, if it says so."""
    if b"close" in (head.value(b"connection") or b"").lower():
        return 0.0
    for each in (head.value(b"keep-alive") or b"").split(b","):
        name, _, seconds = each.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


def returned_headers(head: ReplyHead) -> Headers:
    """Return an endpoint's headers without those of its connection."""
    left_out = names.CONNECTION_HEADERS
    return tuple(each for each in head.headers if each[0] not in left_out)


def refusal_reply(refusal: Refusal, request_id: str | None, now: float) -> Reply:
    """Return the answer that carries a refusal."""
    status = int(REFUSALS[refusal.code].status)
    if refusal.run is Run.NO and status not in TRUTHFUL_WHEN_NOT_RUN:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    if refusal.run is not Run.NO and status in TRUTHFUL_WHEN_NOT_RUN:
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
