"""Text form of the accounts of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.explain.types import Account, LogLine


def render(account: Account) -> Iterator[str]:
    """Yield an account as lines of text."""
    yield "request"
    for line in account.request_lines:
        yield f"  {_line_text(line, 'steps')}"
        for step in line.steps:
            yield f"    {step}"
    yield "what was known"
    for line in account.context_lines:
        yield f"  {_line_text(line)}"


def _line_text(line: LogLine, omitted_field: str = "") -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != omitted_field
    )
    return f"{line.time} {line.node} {line.event} {fields}".rstrip()
