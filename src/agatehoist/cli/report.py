"""Command that reports on the error budgets of the service levels."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import (
    EXIT_INCOMPLETE,
    UsageError,
    exit_with_error,
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
    """Report the burn rates of the error budgets.

    Args:
        routers: comma-separated URLs of the routers.
        form: output format: text, json or html.
        output: the file to write, or - for standard output.
        key_file: file with an operator's key; default is AGATEHOIST_OPERATOR_KEY.
    """
    if form not in FORMATS:
        raise UsageError(
            f"{form!r} is not one of {', '.join(map(str, FORMATS.names()))}"
        )
    collected = _collect(split_urls(routers), operator_key(key_file))
    if collected.answers:
        _write(FORMATS[form](make_report(collected.answers)), output)
    if collected.missing:
        exit_with_error(
            EXIT_INCOMPLETE,
            (f"{each.url}: {each.reason}" for each in collected.missing),
        )


def _collect(urls: tuple[str, ...], key: str) -> CollectedAnswers[Snapshot]:
    return anyio.run(collect_answers, urls, BURN_PATH, key, Snapshot)


def _write(text: str, output: str) -> None:
    if output == "-":
        sys.stdout.write(text)
    else:
        Path(output).write_text(text, encoding="utf-8")
