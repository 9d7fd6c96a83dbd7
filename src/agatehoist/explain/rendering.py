"""Accounts of requests as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.explain.types import Account, LogLine


def render(account: Account) -> Iterator[str]:
    """Yield the lines of an account."""
    yield "request"
    for line in account.own:
        yield f"  {_render(line, 'steps')}"
        for step in line.fields.get("steps", ()):
            yield f"    {step}"
    yield "what was known"
    for line in account.beliefs:
        yield f"  {_render(line)}"


def _render(line: LogLine, left_out: str = "") -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name != left_out
    )
    return f"{line.time} {line.node} {line.event} {fields}".rstrip()
