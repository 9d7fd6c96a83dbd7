"""Probing of the shortlisted endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.placement.types import Offer
from agatehoist.protocol.errors import ProtocolError
from agatehoist.protocol.messages import Probe

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, Question
    from agatehoist.router.state import RouterState

logger = get_logger("router")

PROBE_TIMEOUT_S = 0.25


async def probe_all(
    state: RouterState,
    candidates: Sequence[Candidate],
    question: Question,
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    """Return the offers that came in time, in the order of the candidates."""
    offers_by_host: dict[str, Offer] = {}
    answered: set[str] = set()

    async def probe_one(candidate: Candidate) -> None:
        state.suspects.begin_probe(candidate.host, state.clock.now())
        try:
            link = await state.links.get(candidate.host)
            probe = Probe(
                link.next_probe_id(),
                organisation,
                question.levels,
                question.prompt_tokens,
                question.priority,
                deadline,
            )
            reply = await link.probe(probe)
        except ProtocolError as error:
            logger.info("no offer", host=candidate.host, reason=str(error))
            state.suspects.note_silence(candidate.host, state.clock.now())
            return
        answered.add(candidate.host)
        state.suspects.note_answer(candidate.host)
        if reply.leaving:
            state.directory.note_leaving(candidate.host)
        else:
            offers_by_host[candidate.host] = Offer(
                candidate, reply.identity, reply.matched_tokens, reply.ttft_estimate
            )

    with anyio.move_on_after(PROBE_TIMEOUT_S) as scope:
        async with anyio.create_task_group() as task_group:
            for each in candidates:
                task_group.start_soon(probe_one, each)
    if scope.cancelled_caught:
        for each in candidates:
            if each.host not in answered:
                state.suspects.note_silence(each.host, state.clock.now())
    return tuple(
        offers_by_host[each.host] for each in candidates if each.host in offers_by_host
    )
