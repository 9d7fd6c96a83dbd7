"""Commands by name and the entry point that runs them."""

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
    given = sys.argv[1:] if arguments is None else arguments
    _import_commands(given[0] if given else "")
    try:
        fire.Fire(_command_tree(), command=arguments, name="agatehoist")
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except (AgatehoistError, OSError) as error:
        print(f"agatehoist: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _import_commands(name: str) -> None:
    """Import the module named like the command, or all if there is none.

    A router that starts anew must serve at once, so it loads no other command.
    """
    folder = str(Path(__file__).parent)
    modules = [each.name for each in pkgutil.iter_modules([folder])]
    for module in [name] if name in modules else modules:
        importlib.import_module(f"agatehoist.cli.{module}")


def _command_tree() -> dict[str, Any]:
    tree: dict[str, Any] = {}
    for name in COMMANDS:
        *groups, leaf = str(name).split()
        branch = tree
        for group in groups:
            branch = branch.setdefault(group, {})
        branch[leaf] = COMMANDS[name]
    return tree
