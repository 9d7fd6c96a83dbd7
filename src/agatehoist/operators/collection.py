"""Collection of JSON answers from the operators' interface of several processes."""

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
class MissingAnswer:
    """Hold the URL of a process that gave no valid answer, and the reason."""

    url: str
    reason: str


@dataclass(frozen=True, slots=True)
class CollectedAnswers(Generic[Answer]):
    """Hold the answers, and the processes that gave none."""

    answers: tuple[Answer, ...]
    missing: tuple[MissingAnswer, ...]


async def collect_answers(
    urls: Sequence[str], path: str, key: str, answer_type: type[Answer]
) -> CollectedAnswers[Answer]:
    """Fetch a path from each URL; return the valid answers and the failures."""
    answers_by_url: dict[str, Answer] = {}
    missing: list[MissingAnswer] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def collect_answer(url: str) -> None:
        try:
            async with limiter:
                answers_by_url[url] = await _fetch_answer(url, path, key, answer_type)
        except httpx.HTTPError as error:
            missing.append(MissingAnswer(url, str(error) or repr(error)))
        except Exception as error:
            missing.append(MissingAnswer(url, f"answer not understood: {error}"))

    async with anyio.create_task_group() as task_group:
        for each in urls:
            task_group.start_soon(collect_answer, each)
    answers = tuple(answers_by_url[url] for url in urls if url in answers_by_url)
    return CollectedAnswers(answers, tuple(missing))


async def _fetch_answer(
    url: str, path: str, key: str, answer_type: type[Answer]
) -> Answer:
    headers = {"Authorization": f"Bearer {key}"}
    async with httpx.AsyncClient(
        timeout=COLLECT_TIMEOUT_S, verify=tls_context(url)
    ) as client:
        answer = await client.get(url.rstrip("/") + path, headers=headers)
        answer.raise_for_status()
        return _converter.structure(answer.json(), answer_type)
