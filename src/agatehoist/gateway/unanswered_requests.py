"""Record of requests that were read whole and whose connection ends without a reply."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.units import MS_PER_S
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import UNANSWERED_REQUESTS_TOTAL

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.core.clock import Clock
    from agatehoist.http1.server import ServerConnection
    from agatehoist.http1.types import Request

logger = get_logger("gateway")

CALLER_GONE = "caller gone"
# This process aborted a reply that couldn't be completed, or closed the connection.
BROKEN_OFF = "broken off"
STOPPED = "stopped"
EXCEPTION = "exception"
MAX_LOGGED_TARGET_BYTES = 200


@contextmanager
def record_if_unanswered(
    connection: ServerConnection,
    request: Request,
    request_id: str | None,
    clock: Clock,
) -> Iterator[None]:
    """Record how a request ends if its connection has not got a complete reply."""
    cause = BROKEN_OFF
    detail = ""
    read_at = clock.now()
    try:
        yield
    except anyio.get_cancelled_exc_class():
        cause = STOPPED
        raise
    except ConnectionFailedError as error:
        detail = str(error)
        raise
    except Exception as error:
        cause, detail = EXCEPTION, repr(error)
        raise
    finally:
        if connection.has_caller_left:
            cause = CALLER_GONE
        if not connection.has_replied:
            open_s = clock.now() - read_at
            _record(connection, request, request_id, cause, detail, open_s)


def _record(
    connection: ServerConnection,
    request: Request,
    request_id: str | None,
    cause: str,
    detail: str,
    open_s: float,
) -> None:
    UNANSWERED_REQUESTS_TOTAL.inc({"cause": cause})
    # The callers' own leaving is no fault.
    log = logger.info if cause == CALLER_GONE else logger.warning
    log(
        "request unanswered",
        request=request_id,
        cause=cause,
        detail=detail,
        reply_started=not connection.can_start_reply(),
        # Since the request was read whole, which may be long after its head.
        open_ms=round(open_s * MS_PER_S),
        discarded_bytes=connection.discarded_bytes,
        peer=connection.peer,
        target=request.head.target[:MAX_LOGGED_TARGET_BYTES],
    )
