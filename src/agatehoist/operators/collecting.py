"""Collecting of what the processes tell the operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

import anyio
import httpx

from agatehoist.core.tls import tls_context
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from collections.abc import Sequence

COLLECT_TIMEOUT_S = 5.0
MAX_CONCURRENT_CALLS = 32

Answer = TypeVar("Answer")

_converter = make_converter()


@dataclass(frozen=True, slots=True)
class Missing:
    """Name a process that gave no answer, and why."""

    url: str
    reason: str


@dataclass(frozen=True, slots=True)
class Collected(Generic[Answer]):
    """Hold the answers, and what is missing from them."""

    answers: tuple[Answer, ...]
    missing: tuple[Missing, ...]


async def collect(
    urls: Sequence[str], path: str, key: str, target: type[Answer]
) -> Collected[Answer]:
    """Return the answers of all processes that answer in time."""
    answers_by_url: dict[str, Answer] = {}
    missing: list[Missing] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def ask(url: str) -> None:
        try:
            async with limiter:
                answers_by_url[url] = await _ask(url, path, key, target)
        except httpx.HTTPError as error:
            missing.append(Missing(url, str(error) or repr(error)))
        except Exception as error:
            missing.append(Missing(url, f"answer not understood: {error}"))

    async with anyio.create_task_group() as task_group:
        for each in urls:
            task_group.start_soon(ask, each)
    answers = tuple(answers_by_url[url] for url in urls if url in answers_by_url)
    return Collected(answers, tuple(missing))


async def _ask(url: str, path: str, key: str, target: type[Answer]) -> Answer:
    headers = {"Authorization": f"Bearer {key}"}
    async with httpx.AsyncClient(
        timeout=COLLECT_TIMEOUT_S, verify=tls_context(url)
    ) as client:
        answer = await client.get(url.rstrip("/") + path, headers=headers)
        answer.raise_for_status()
        return _converter.structure(answer.json(), target)
