"""What the operators' commands share."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import anyio

from agatehoist.cli.groups import first_error
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

EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_INCOMPLETE = 5
KEY_VARIABLE = "AGATEHOIST_OPERATOR_KEY"


class UsageError(AgatehoistError):
    """Report an argument that can't be used."""


def run_with_store(
    function: Callable[[ConfigurationStore], Awaitable[Answer]],
    platform: str | None,
    settings: str | None,
) -> Answer:
    """Run a function with the store at a URL or in a settings file."""
    found = _platform_settings(platform, settings)

    async def run() -> Answer:
        client = PlatformClient(found)
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
    """Return the accepted record.

    Raises ConfigurationError if there is none.
    """
    record = await store.read_in_force()
    if record is None:
        raise ConfigurationError("no configuration was accepted yet")
    return record


async def require_revision(store: ConfigurationStore, revision: int) -> Record:
    """Return a record in force or of the history.

    Raises ConfigurationError if it isn't kept.
    """
    in_force = await store.read_in_force()
    if in_force is not None and in_force.revision == revision:
        return in_force
    record = await store.read_revision(revision)
    if record is None:
        raise ConfigurationError(f"revision {revision} isn't kept")
    return record


def split_urls(text: object) -> tuple[str, ...]:
    """Return the URLs of a list with commas.

    Raises UsageError if there is none.
    """
    # Fire turns a list with commas into a tuple.
    parts = text if isinstance(text, tuple) else str(text).split(",")
    urls = tuple(str(part).strip() for part in parts if str(part).strip())
    if not urls:
        raise UsageError("name at least one URL")
    return urls


def operator_key(key_file: str | None) -> str:
    """Return the operator's key from a file or from the environment.

    Raises UsageError if there is none.
    """
    if key_file is not None:
        return Path(key_file).read_text(encoding="utf-8").strip()
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise UsageError(f"give an operator's key by --key-file or {KEY_VARIABLE}")
    return key


def parse_time(text: Any) -> datetime:
    """Return a time that is written with its zone.

    Raises UsageError.
    """
    try:
        moment = datetime.fromisoformat(str(text))
    except ValueError:
        raise UsageError(f"{text!r} is no ISO 8601 time") from None
    if moment.tzinfo is None:
        raise UsageError(f"{text!r} names no time zone")
    return moment


def utc_now() -> datetime:
    """Return the current time."""
    return datetime.now(UTC)


def print_lines(lines: Iterable[str]) -> None:
    """Print lines on standard output."""
    for line in lines:
        print(line)


def fail(status: int, lines: Iterable[str]) -> None:
    """Print lines on standard error and end with a status."""
    for line in lines:
        print(line, file=sys.stderr)
    sys.exit(status)


def _platform_settings(platform: str | None, settings: str | None) -> PlatformSettings:
    if (platform is None) == (settings is None):
        raise UsageError("name the platform by --platform URL or --settings FILE")
    if platform is not None:
        return PlatformSettings(platform)
    assert settings is not None
    return load_file(settings, OperatorSettings).platform
