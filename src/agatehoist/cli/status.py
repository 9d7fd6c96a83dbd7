"""Command that shows the status of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import (
    EXIT_INCOMPLETE,
    exit_with_error,
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
    """Show the routers, their configuration revisions, endpoints and weight loads.

    An endpoint is marked if it shuts down or is suspected to have failed.

    Args:
        routers: comma-separated URLs of the routers.
        platform: URL of the platform; if given, the weight loads are shown too.
        key_file: file with an operator's key; default is AGATEHOIST_OPERATOR_KEY.
    """
    urls = split_urls(routers)
    key = operator_key(key_file)
    collected = anyio.run(collect_answers, urls, STATUS_PATH, key, RouterStatus)
    if collected.answers:
        ledger = anyio.run(_read_ledger, platform) if platform else None
        print_lines(status_lines(merge_status(collected.answers, ledger)))
    if collected.missing:
        exit_with_error(
            EXIT_INCOMPLETE,
            (f"{each.url}: {each.reason}" for each in collected.missing),
        )


async def _read_ledger(url: str) -> Ledger:
    client = PlatformClient(PlatformSettings(url))
    try:
        return await read_ledger(client)
    finally:
        await client.aclose()
