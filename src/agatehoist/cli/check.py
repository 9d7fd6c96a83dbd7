"""Command that checks a configuration file."""

from __future__ import annotations

from agatehoist.cli.commands import COMMANDS
from agatehoist.configuration.check import load_document


@COMMANDS.register("check")
def check(file: str) -> None:
    """Print every finding of a configuration file; exit 2 if there is one."""
    load_document(str(file))
    print(f"{file}: no findings")
