"""Helpers shared by the operators' commands."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import anyio

from agatehoist.cli.exception_groups import first_error
from agatehoist.configuration.errors import ConfigurationError
from agatehoist.configuration.store import ConfigurationStore
from agatehoist.errors import AgatehoistError
from agatehoist.settings import load_file
from agatehoist.settings.types import OperatorSettings, PlatformSettings
from agatehoist.storage.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from agatehoist.configuration.document import Record

Answer = TypeVar("Answer")

# Statuses 1 and 2 are in cli/main.py.
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4
# Some of the routers gave no valid answer.
EXIT_INCOMPLETE = 5
OPERATOR_KEY_VARIABLE = "AGATEHOIST_OPERATOR_KEY"


class UsageError(AgatehoistError):
    """Report an invalid or missing command-line argument."""


def run_with_store(
    function: Callable[[ConfigurationStore], Awaitable[Answer]],
    platform: str | None,
    settings: str | None,
) -> Answer:
    """Call a function with the store at a platform URL or in a settings file."""
    platform_settings = _read_platform_settings(platform, settings)

    async def run() -> Answer:
        client = PlatformClient(platform_settings)
        try:
            return await function(ConfigurationStore(client))
        finally:
            with anyio.CancelScope(shield=True):
                await client.aclose()

    try:
        return anyio.run(run)
    except BaseExceptionGroup as group:
        raise first_error(group) from None


async def require_in_force(store: ConfigurationStore) -> Record:
    """Return the configuration record in force.

    Raises ConfigurationError if there is none.
    """
    record = await store.read_in_force()
    if record is None:
        raise ConfigurationError("no configuration has been accepted yet")
    return record


async def require_revision(store: ConfigurationStore, revision: int) -> Record:
    """Return the record of a revision, which is in force or in the history.

    Raises ConfigurationError if neither has it.
    """
    in_force = await store.read_in_force()
    if in_force is not None and in_force.revision == revision:
        return in_force
    record = await store.read_revision(revision)
    if record is None:
        raise ConfigurationError(
            f"revision {revision} is neither in force nor in the history"
        )
    return record


def split_urls(text: object) -> tuple[str, ...]:
    """Return the URLs of a comma-separated list.

    Raises UsageError if there is none.
    """
    # Fire parses a comma-separated argument into a tuple.
    parts = text if isinstance(text, tuple) else str(text).split(",")
    urls = tuple(str(part).strip() for part in parts if str(part).strip())
    if not urls:
        raise UsageError("the list of URLs is empty")
    return urls


def operator_key(key_file: str | None) -> str:
    """Return the operator's key from a file or else from the environment.

    Raises UsageError if there is none.
    """
    if key_file is not None:
        return Path(key_file).read_text(encoding="utf-8").strip()
    key = os.environ.get(OPERATOR_KEY_VARIABLE, "")
    if not key:
        raise UsageError(
            f"no operator's key: set --key-file or {OPERATOR_KEY_VARIABLE}"
        )
    return key


def parse_time(text: Any) -> datetime:
    """Parse an ISO 8601 time with a time zone.

    Raises UsageError.
    """
    try:
        parsed = datetime.fromisoformat(str(text))
    except ValueError:
        raise UsageError(f"{text!r} is not an ISO 8601 time") from None
    if parsed.tzinfo is None:
        raise UsageError(f"{text!r} has no time zone")
    return parsed


def utc_now() -> datetime:
    """Return the current time in UTC."""
    return datetime.now(UTC)


def print_lines(lines: Iterable[str]) -> None:
    """Print lines to standard output; what it can't encode is escaped."""
    encoding = sys.stdout.encoding or "utf-8"
    for line in lines:
        print(line.encode(encoding, "backslashreplace").decode(encoding))


def exit_with_error(status: int, lines: Iterable[str]) -> None:
    """Print lines to standard error and exit with a status."""
    for line in lines:
        print(line, file=sys.stderr)
    sys.exit(status)


def _read_platform_settings(
    platform: str | None, settings: str | None
) -> PlatformSettings:
    if (platform is None) == (settings is None):
        raise UsageError("set either --platform URL or --settings FILE")
    if platform is not None:
        return PlatformSettings(platform)
    assert settings is not None
    return load_file(settings, OperatorSettings).platform
