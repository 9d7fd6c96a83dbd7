"""Commands by name and the entry point that runs them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import fire

from agatehoist.cli import apply, check, processes, report, show, status  # noqa: F401
from agatehoist.cli.commands import COMMANDS
from agatehoist.errors import AgatehoistError
from agatehoist.settings import InvalidFileError

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_FAILED = 1
EXIT_INVALID = 2


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name."""
    try:
        fire.Fire(_command_tree(), command=arguments, name="agatehoist")
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except (AgatehoistError, OSError) as error:
        print(f"agatehoist: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _command_tree() -> dict[str, Any]:
    tree: dict[str, Any] = {}
    for name in COMMANDS:
        *groups, leaf = str(name).split()
        branch = tree
        for group in groups:
            branch = branch.setdefault(group, {})
        branch[leaf] = COMMANDS[name]
    return tree
