"""Parser of log lines; text before the JSON record is ignored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.json_text import InvalidJsonError, read_json_of_many
from agatehoist.explain.types import LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

STANDARD_KEYS = ("timestamp", "node", "event", "level")


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the records of a log, skipping lines without one."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            value = read_json_of_many(text[start:].encode(errors="surrogatepass"))
            # A line of another program may hold what can't be shown.
            str(value)
        except (InvalidJsonError, RecursionError):
            # Log collectors truncate long lines and mix in lines of other programs.
            continue
        if isinstance(value, dict) and isinstance(value.get("event"), str):
            fields = {
                name: each for name, each in value.items() if name not in STANDARD_KEYS
            }
            time, node = str(value.get("timestamp", "")), str(value.get("node", ""))
            yield LogLine(time, node, value["event"], fields)
