"""Lines of logs and the account of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line; the time is the process's own, as text that sorts."""

    time: str
    node: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Account:
    """Hold the lines of a request and those of the beliefs it rested on."""

    own: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
