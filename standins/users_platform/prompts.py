"""Callers with prompts of shared parts, each with a last part of its own."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.errors import ConnectionFailedError, InvalidReplyError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.users_platform.harness import GatewayHarness

PART_TOKENS = 40
RETRY_S = 0.05
# All of them at once could be refused for want of room.
INTERVAL_S = 0.03
TIMEOUT_S = 20.0
# Time after the fifth crash by which a deadly part must be known, and the users' limit
# of later runs.
STABLE_S = 3.0
MAX_LATE_RUNS = 3

_NUMBERS = itertools.count(1)


@dataclass(frozen=True, slots=True)
class PromptResult:
    """Hold the result of a request; the status is 0 if its answer broke off."""

    request_id: str
    sent_at: float
    took_s: float
    status: int
    body: bytes = b""
    retry_after: bytes = b""


class PromptCaller:
    """Send requests with prompts to a path of the harness's gateway."""

    def __init__(self, harness: GatewayHarness, path: str) -> None:
        self.results: list[PromptResult] = []
        self._harness = harness
        self._path = path

    async def ask(self, shared: Sequence[str], port: int = 0) -> PromptResult:
        """Send a request with these shared parts to a port and record its result."""
        number = next(_NUMBERS)
        request_id = f"r{number}"
        parts = (*shared, f"own-{number}")
        sent_at = time.monotonic()
        try:
            reply = await self._harness.ask_prompt(
                self._path,
                port,
                x_agatehoist_request_id=request_id,
                x_agatehoist_token_count=f"{PART_TOKENS * len(parts)},5",
                x_agatehoist_prompt_prefix=",".join(
                    f"{each}:{PART_TOKENS}" for each in parts
                ),
            )
        except (ConnectionFailedError, InvalidReplyError):
            result = PromptResult(request_id, sent_at, time.monotonic() - sent_at, 0)
        else:
            result = PromptResult(
                request_id,
                sent_at,
                time.monotonic() - sent_at,
                reply.head.status,
                reply.body,
                reply.head.value(b"retry-after") or b"",
            )
        self.results.append(result)
        return result

    async def ask_all(self, prompts: Sequence[Sequence[str]]) -> list[PromptResult]:
        """Send a request on each prompt, without waiting, and return the results."""
        results: list[PromptResult] = []

        async def collect(shared: Sequence[str]) -> None:
            results.append(await self.ask(shared))

        async with anyio.create_task_group() as task_group:
            for each in prompts:
                task_group.start_soon(collect, each)
                await anyio.sleep(INTERVAL_S)
        return results

    async def wait_until_served(self, shared: Sequence[str]) -> None:
        """Send requests with these shared parts until one succeeds.

        Raises TimeoutError.
        """
        with anyio.fail_after(TIMEOUT_S):
            while (await self.ask(shared)).status != 200:  # noqa: ASYNC110
                await anyio.sleep(RETRY_S)

    def runs_of(self, result: PromptResult) -> int:
        """Return how often engines ran a request."""
        return self._harness.runs().count(result.request_id)
