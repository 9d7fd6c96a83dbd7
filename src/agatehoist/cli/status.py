"""Command that shows the fleet at a glance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import (
    EXIT_INCOMPLETE,
    fail,
    operator_key,
    print_lines,
    split_urls,
)
from agatehoist.operators.collection import collect_answers
from agatehoist.operators.routes import STATUS_PATH
from agatehoist.operators.status import RouterStatus, merge_status, status_lines
from agatehoist.orders.objects import read_ledger
from agatehoist.settings.types import PlatformSettings
from agatehoist.storage.client import PlatformClient

if TYPE_CHECKING:
    from agatehoist.orders.types import Ledger


@COMMANDS.register("status")
def status(
    routers: str, platform: str | None = None, key_file: str | None = None
) -> None:
    """Show endpoints, revisions in force, who leaves or is suspected, and loads.

    Args:
        routers: URLs of the routers, with commas between them.
        platform: URL of the platform, to show the weight loads too.
        key_file: the file with an operator's key; else AGATEHOIST_OPERATOR_KEY.
    """
    urls = split_urls(routers)
    key = operator_key(key_file)
    found = anyio.run(collect_answers, urls, STATUS_PATH, key, RouterStatus)
    if found.answers:
        ledger = anyio.run(_read_ledger, platform) if platform else None
        print_lines(status_lines(merge_status(found.answers, ledger)))
    if found.missing:
        fail(EXIT_INCOMPLETE, (f"{each.url}: {each.reason}" for each in found.missing))


async def _read_ledger(url: str) -> Ledger:
    client = PlatformClient(PlatformSettings(url))
    try:
        return await read_ledger(client)
    finally:
        await client.aclose()
