"""Reports of model engines, weights orders and moves of runs."""

from __future__ import annotations

import json
import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.core.document_reader import Finding, MappingReader, raise_findings
from agatehoist.core.json_text import InvalidJsonError, read_json
from agatehoist.core.numbers import checked_integer
from agatehoist.fleet.types import EndpointReport
from agatehoist.http1.errors import InvalidReplyError
from agatehoist.http1.types import RequestHead
from agatehoist.platform import names
from agatehoist.platform.priorities import is_uninterruptible

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.fleet.types import Endpoint
    from agatehoist.http1.types import Reply
    from agatehoist.weights.types import WeightsOrder

# Runs that have started either finish before the weights change or are interrupted.
MODE_FINISH_RUNS = "queue"
MODE_INTERRUPT_RUNS = "truncate"
# Position of the priority in the list that describes a run.
RUN_PRIORITY_INDEX = 3
# A handle is sent on in a header.
HANDLE = re.compile(r"[!-~]{1,256}")


def report_head(endpoint: Endpoint) -> RequestHead:
    """Return the head of the request for an engine's report."""
    return RequestHead(b"GET", names.REPORT_TARGET, _headers(endpoint))


def read_report(reply: Reply) -> EndpointReport:
    """Parse an engine's report.

    Raises InvalidReplyError and InvalidDocumentError.
    """
    if reply.head.status != HTTPStatus.OK:
        raise InvalidReplyError(
            f"report request was answered with status {reply.head.status}"
        )
    try:
        value = read_json(reply.body)
    except InvalidJsonError as error:
        raise InvalidReplyError(f"report: {error}") from error
    findings: list[Finding] = []
    reader = MappingReader(value, "", findings)
    report = EndpointReport(
        {
            each.text("Name"): each.integer("Version")
            for each in reader.mappings("Models")
        },
        reader.flag("Busy"),
        reader.integer("SeqNo"),
        reader.integer("Running", 0),
        sum(is_uninterruptible(each) for each in _run_priorities(reader)),
    )
    raise_findings("report", findings)
    return report


def order_request(endpoint: Endpoint, order: WeightsOrder) -> tuple[RequestHead, bytes]:
    """Return the request that tells an endpoint to load new weights."""
    body = json.dumps(
        {
            "Op": "Version",
            "Model": order.model,
            "Version": order.version,
            "Mode": MODE_INTERRUPT_RUNS if order.cuts_runs else MODE_FINISH_RUNS,
            "Holder": order.holder,
            "FencingToken": order.token,
            "ExpectedRev": order.expected_order_count,
        }
    ).encode()
    return RequestHead(b"POST", names.ORDER_TARGET, _json_headers(endpoint, body)), body


def move_request(
    source: Endpoint, request_id: str, destination: Endpoint, stops_run: bool
) -> tuple[RequestHead, bytes]:
    """Return the request that copies the KV cache of a run, or also stops it."""
    body = json.dumps(
        {
            "Id": request_id,
            "To": f"{destination.host}:{destination.port}",
            "Last": stops_run,
        }
    ).encode()
    return RequestHead(b"POST", names.MOVE_TARGET, _json_headers(source, body)), body


def read_move_reply(source: Endpoint, reply: Reply) -> str:
    """Return HOST:PORT/HANDLE, from which a run can be continued, or ""."""
    try:
        value = read_json(reply.body)
    except InvalidJsonError:
        # A reply without a JSON body means that nothing was copied or stopped.
        return ""
    handle = value.get("handle") if isinstance(value, dict) else None
    text = str(handle) if isinstance(handle, str | int) else ""
    if not HANDLE.fullmatch(text):
        return ""
    return f"{source.host}:{source.port}/{text}"


def free_copy_head(destination: Endpoint, name: str) -> RequestHead:
    """Return the head of the request that drops the copy of a run at an endpoint."""
    handle = name.partition("/")[2].encode()
    return RequestHead(b"DELETE", names.COPY_TARGET + handle, _headers(destination))


def _json_headers(endpoint: Endpoint, body: bytes) -> tuple[tuple[bytes, bytes], ...]:
    return (
        *_headers(endpoint),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    )


def _run_priorities(reader: MappingReader) -> Iterator[int]:
    """Yield the priorities of the runs that a report describes as expected."""
    for run in reader.items("Runs"):
        if isinstance(run, list) and len(run) > RUN_PRIORITY_INDEX:
            priority = checked_integer(run[RUN_PRIORITY_INDEX])
            if priority is not None:
                yield priority


def _headers(endpoint: Endpoint) -> tuple[tuple[bytes, bytes], ...]:
    return (
        (b"host", f"{endpoint.host}:{endpoint.port}".encode()),
        (names.EXPECTED_ENDPOINT, endpoint.name.encode()),
    )
