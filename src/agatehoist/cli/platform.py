"""Commands that validate the files of the users' platform and show its stored objects.

The users' platform is the object store, the headers and the engines of the gateway's
users. The files are the settings of a gateway and the operators' configuration.
"""

from __future__ import annotations

import sys
from pathlib import Path

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.main import EXIT_FAILED
from agatehoist.cli.operators import print_lines
from agatehoist.core.clock import SystemClock
from agatehoist.core.document_reader import InvalidDocumentError
from agatehoist.core.json_text import InvalidJsonError, read_json
from agatehoist.errors import InvalidInputError
from agatehoist.gateway.overview import Overview, overview_lines, read_overview
from agatehoist.platform import names
from agatehoist.platform.adapter import UsersPlatform
from agatehoist.platform.documents import read_configuration, read_draft
from agatehoist.platform.draft_text import difference_lines, finding_text
from agatehoist.platform.settings_file import load_settings
from agatehoist.platform.store import PlatformStore
from agatehoist.preview.review import compare_versions, run_checks
from agatehoist.preview.types import Draft, Severity


@COMMANDS.register("platform check")
def check(settings: str = "", configuration: str = "") -> None:
    """Validate the platform's files and print all findings; exit 2 if there are any.

    A file that isn't given is not checked.

    Args:
        settings: settings file of a gateway.
        configuration: JSON file with the operators' configuration.
    """
    if settings:
        load_settings(Path(settings))
        print(f"{settings}: no findings")
    if configuration:
        read_configuration(_load_json(configuration))
        print(f"{configuration}: no findings")


@COMMANDS.register("platform preview")
def preview(configuration: str, in_force: str = "", settings: str = "") -> None:
    """Check a configuration before it is sent; exit 1 if there are errors.

    Prints a line for each finding, then each difference to the version in force if its
    file or the settings that name its store are given. Exit 2: it can't be parsed.

    Args:
        configuration: JSON file with the operators' configuration.
        in_force: JSON file with the version in force.
        settings: settings file of a gateway, for reading that version from the store.
    """
    if in_force and settings:
        raise InvalidInputError("--in-force and --settings exclude each other")
    try:
        draft = read_draft(_load_json(configuration))
    except InvalidDocumentError as error:
        print_lines(f"{Severity.ERROR}: {each}" for each in error.findings)
        sys.exit(EXIT_FAILED)
    except InvalidInputError as error:
        print(f"{Severity.ERROR}: {error}")
        sys.exit(EXIT_FAILED)
    findings = run_checks(draft)
    print_lines(finding_text(each) for each in findings)
    before = _read_in_force(in_force, settings)
    if before is not None:
        version_findings = tuple(compare_versions(before, draft))
        print_lines(finding_text(each) for each in version_findings)
        print_lines(difference_lines(before, draft))
        findings += version_findings
    if not findings:
        print(f"{configuration}: no findings")
    if any(each.severity is Severity.ERROR for each in findings):
        sys.exit(EXIT_FAILED)


@COMMANDS.register("platform status")
def status(settings: str) -> None:
    """Show the configuration, nodes, weights and endpoints in the platform's store.

    A node is one gateway of the deployment.

    Args:
        settings: settings file of a gateway.
    """
    print_lines(overview_lines(anyio.run(_read_overview, settings)))


async def _read_overview(path: str) -> Overview:
    store = PlatformStore(load_settings(Path(path)).store, SystemClock())
    return await read_overview(store, UsersPlatform())


def _read_in_force(file: str, settings: str) -> Draft | None:
    try:
        if file:
            return read_draft(_load_json(file))
        return anyio.run(_read_stored_draft, settings) if settings else None
    except InvalidInputError as error:
        raise InvalidInputError(f"version in force: {error}") from error


async def _read_stored_draft(path: str) -> Draft:
    store = PlatformStore(load_settings(Path(path)).store, SystemClock())
    stored = await store.get(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME)
    return read_draft(stored.spec)


def _load_json(path: str) -> object:
    try:
        return read_json(Path(path).read_bytes())
    except InvalidJsonError as error:
        raise InvalidInputError(f"{path}: invalid JSON: {error}") from error
