"""Entry point of the command line: imports, finds and runs the commands."""

from __future__ import annotations

import importlib
import pkgutil
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import fire

from agatehoist.cli.commands import COMMANDS
from agatehoist.errors import AgatehoistError, InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_FAILED = 1
EXIT_INVALID = 2


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name."""
    command_line = sys.argv[1:] if arguments is None else arguments
    _import_commands(command_line[0] if command_line else "")
    try:
        fire.Fire(_command_tree(), command=arguments, name="agatehoist")
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except (AgatehoistError, OSError) as error:
        print(f"agatehoist: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _import_commands(name: str) -> None:
    """Import the module with the name of the command, or all modules if none has it.

    Importing the other commands would delay the first request that a restarted router
    can serve.
    """
    folder = str(Path(__file__).parent)
    modules = [each.name for each in pkgutil.iter_modules([folder])]
    for module in [name] if name in modules else modules:
        importlib.import_module(f"agatehoist.cli.{module}")


def _command_tree() -> dict[str, Any]:
    tree: dict[str, Any] = {}
    for name in COMMANDS:
        *groups, leaf = str(name).split()
        subtree = tree
        for group in groups:
            subtree = subtree.setdefault(group, {})
        subtree[leaf] = COMMANDS[name]
    return tree
