"""Selection of the log lines that explain a request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from agatehoist.explain.types import Account, LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_FIELD = "request"
STEP_ENDPOINT_PATTERN = re.compile(r"to ([^\s,]+)")
# Events on the state of the node that served the request, for any endpoint.
NODE_EVENTS = (
    "configuration in force",
    "store lost",
    "store regained",
    "weights named",
    "plan seen",
    "nodes counted",
    "leaving",
    "started",
)
MAX_LINES_BY_EVENT = 3


def explain(lines: Iterable[LogLine], request_id: str) -> Account | None:
    """Return the account of a request, or None if no log line has its id."""
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = tuple(
        line for line in ordered if line.fields.get(REQUEST_FIELD) == request_id
    )
    if not request_lines:
        return None
    nodes = {line.node for line in request_lines}
    endpoints = _endpoints_of(request_lines)
    until = request_lines[-1].time
    groups: dict[tuple[str, str, str], list[LogLine]] = {}
    for line in ordered:
        if line.time > until or REQUEST_FIELD in line.fields:
            continue
        subject = _endpoint_of(line)
        concerns_endpoint = subject in endpoints
        concerns_node = line.node in nodes and line.event.endswith(NODE_EVENTS)
        if concerns_endpoint or concerns_node:
            key = (line.node, line.event, subject)
            groups[key] = [*groups.get(key, []), line][-MAX_LINES_BY_EVENT:]
    context_lines = [line for group in groups.values() for line in group]
    return Account(
        request_lines, tuple(sorted(context_lines, key=lambda line: line.time))
    )


def _endpoints_of(request_lines: tuple[LogLine, ...]) -> frozenset[str]:
    return frozenset(
        match[1]
        for line in request_lines
        for step in line.fields.get("steps", ())
        if (match := STEP_ENDPOINT_PATTERN.search(str(step)))
    )


def _endpoint_of(line: LogLine) -> str:
    """Return the endpoint that a line concerns, without the start time after ``@``."""
    return str(line.fields.get("endpoint", "")).partition("@")[0]
