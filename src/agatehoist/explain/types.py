"""Log lines and the account of a request."""

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
    """Hold the log lines of a request and those on the state it was decided from."""

    request_lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]
