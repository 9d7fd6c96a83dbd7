"""Choice of the lines that explain a request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from agatehoist.explain.types import Account, LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_FIELD = "request"
STEP_ENDPOINT = re.compile(r"to ([^\s,]+)")
# Beliefs of the node that served the request, whatever endpoint they are about.
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
    """Return the account of a request, or None if no line names it."""
    known = sorted(lines, key=lambda line: line.time)
    own = tuple(line for line in known if line.fields.get(REQUEST_FIELD) == request_id)
    if not own:
        return None
    nodes = {line.node for line in own}
    endpoints = _endpoints_of(own)
    until = own[-1].time
    beliefs: dict[tuple[str, str, str], list[LogLine]] = {}
    for line in known:
        if line.time > until or REQUEST_FIELD in line.fields:
            continue
        subject = _endpoint_of(line)
        is_about = subject in endpoints
        is_general = line.node in nodes and line.event.endswith(NODE_EVENTS)
        if is_about or is_general:
            key = (line.node, line.event, subject)
            beliefs[key] = [*beliefs.get(key, []), line][-MAX_LINES_BY_EVENT:]
    found = [line for group in beliefs.values() for line in group]
    return Account(own, tuple(sorted(found, key=lambda line: line.time)))


def _endpoints_of(own: tuple[LogLine, ...]) -> frozenset[str]:
    return frozenset(
        found[1]
        for line in own
        for step in line.fields.get("steps", ())
        if (found := STEP_ENDPOINT.search(str(step)))
    )


def _endpoint_of(line: LogLine) -> str:
    """Return the name of the endpoint that a line is about, without its birth."""
    return str(line.fields.get("endpoint", "")).partition("@")[0]
