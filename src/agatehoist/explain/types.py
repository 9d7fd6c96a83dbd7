"""Log lines, and the selection of them that explains a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one log line; the time is that of the process's clock, as sortable text."""

    time: str
    node: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Account:
    """Hold a request's lines and earlier ones on the state of nodes and endpoints."""

    request_lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]
