"""Commands that report on service levels."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import (
    EXIT_INCOMPLETE,
    UsageError,
    fail,
    operator_key,
    split_urls,
)
from agatehoist.operators.collection import collect_answers
from agatehoist.operators.routes import BURN_PATH
from agatehoist.reports.burn import make_report
from agatehoist.reports.formats import FORMATS
from agatehoist.reports.types import Snapshot

if TYPE_CHECKING:
    from agatehoist.operators.collection import CollectedAnswers


@COMMANDS.register("report burn")
def burn(
    routers: str, form: str = "text", output: str = "-", key_file: str | None = None
) -> None:
    """Report how fast the error budgets burn.

    Args:
        routers: URLs of the routers, with commas between them.
        form: text, json or html.
        output: the file to write, or - for standard output.
        key_file: the file with an operator's key; else AGATEHOIST_OPERATOR_KEY.
    """
    if form not in FORMATS:
        raise UsageError(f"{form!r} is none of {', '.join(map(str, FORMATS.names()))}")
    found = _collect(split_urls(routers), operator_key(key_file))
    if found.answers:
        _write(FORMATS[form](make_report(found.answers)), output)
    if found.missing:
        fail(EXIT_INCOMPLETE, (f"{each.url}: {each.reason}" for each in found.missing))


def _collect(urls: tuple[str, ...], key: str) -> CollectedAnswers[Snapshot]:
    return anyio.run(collect_answers, urls, BURN_PATH, key, Snapshot)


def _write(text: str, output: str) -> None:
    if output == "-":
        sys.stdout.write(text)
    else:
        Path(output).write_text(text, encoding="utf-8")
