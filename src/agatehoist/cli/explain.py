"""Command that explains the outcome of a request from the logs."""

from __future__ import annotations

import io
import sys
from itertools import chain
from pathlib import Path

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import print_lines
from agatehoist.errors import AgatehoistError
from agatehoist.explain.account import explain
from agatehoist.explain.account_text import render
from agatehoist.explain.log_reader import read_lines


class UnknownRequestError(AgatehoistError):
    """Report that no log line names the request."""


@COMMANDS.register("explain")
def explain_request(request: str, *logs: str) -> None:
    """Print what each process did with a request and the inputs of its decisions.

    Args:
        request: the request's id.
        logs: log files of any number of processes; standard input if none is given.
    """
    texts = [Path(each).read_text(errors="replace").splitlines() for each in logs]
    if not texts and isinstance(sys.stdin, io.TextIOWrapper):
        sys.stdin.reconfigure(errors="replace")
    lines = chain.from_iterable(texts) if texts else sys.stdin
    # Fire parses an id of digits into a number.
    explanation = explain(read_lines(lines), str(request))
    if explanation is None:
        where = ", ".join(logs) or "standard input"
        raise UnknownRequestError(f"request {request!r} is not in {where}")
    print_lines(render(explanation))
