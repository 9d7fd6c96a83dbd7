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

    @property
    def steps(self) -> tuple[str, ...]:
        """Return the steps of a request that the line lists."""
        steps = self.fields.get("steps")
        return tuple(map(str, steps)) if isinstance(steps, list) else ()


@dataclass(frozen=True, slots=True)
class Account:
    """Hold a request's lines and earlier ones on the state of nodes and endpoints."""

    request_lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]
