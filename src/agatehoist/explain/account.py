"""Selection of the log lines that explain a request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from agatehoist.explain.types import Account, LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_FIELD = "request"
# Matches the endpoint in a step such as "0 ms: sent to ENDPOINT, wait 5 ms".
STEP_ENDPOINT_PATTERN = re.compile(r"to ([^\s,]+)")
# Ends of the names of the events that are shown for each node that logged the request,
# whichever endpoint they name.
NODE_EVENTS = (
    "configuration in force",
    "store lost",
    "store regained",
    # An operator has requested a weights version for a model.
    "weights named",
    # The node has read which endpoints are changing to another weights version.
    "plan seen",
    # The number of nodes, which share the retry slack, has changed.
    "nodes counted",
    "leaving",
    "started",
)
# Lines of one node with the same event and endpoint form a group.
MAX_LINES_PER_GROUP = 3


def explain(lines: Iterable[LogLine], request_id: str) -> Account | None:
    """Return the log lines that explain a request, or None if none has its id."""
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
        endpoint = _endpoint_of(line)
        concerns_endpoint = endpoint in endpoints
        concerns_node = line.node in nodes and line.event.endswith(NODE_EVENTS)
        if concerns_endpoint or concerns_node:
            key = (line.node, line.event, endpoint)
            groups[key] = [*groups.get(key, []), line][-MAX_LINES_PER_GROUP:]
    context_lines = [line for group in groups.values() for line in group]
    return Account(
        request_lines, tuple(sorted(context_lines, key=lambda line: line.time))
    )


def _endpoints_of(request_lines: tuple[LogLine, ...]) -> frozenset[str]:
    return frozenset(
        match[1]
        for line in request_lines
        for step in line.steps
        if (match := STEP_ENDPOINT_PATTERN.search(step))
    )


def _endpoint_of(line: LogLine) -> str:
    """Return the endpoint that a line concerns, without the start time after ``@``."""
    return str(line.fields.get("endpoint", "")).partition("@")[0]
