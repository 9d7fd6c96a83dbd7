"""Registry of the commands, by the words that name them on the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

COMMANDS: Registry[Callable[..., Any]] = Registry("command")
