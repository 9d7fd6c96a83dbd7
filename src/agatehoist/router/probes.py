"""Concurrent probes of the shortlisted endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.placement.types import Offer
from agatehoist.protocol.errors import ProtocolError
from agatehoist.protocol.messages import Probe

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, PlacementRequest
    from agatehoist.protocol.messages import ProbeReply
    from agatehoist.router.state import RouterState

logger = get_logger("router")

PROBE_TIMEOUT_S = 0.25


async def probe_all(
    state: RouterState,
    candidates: Sequence[Candidate],
    placement_request: PlacementRequest,
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    """Return the offers received before the timeout, in the order of the candidates."""
    replies_by_host: dict[str, ProbeReply] = {}

    async def probe_one(host: str) -> None:
        state.suspects.begin_probe(host, state.clock.now())
        try:
            reply = await _send_probe(
                state, host, placement_request, organisation, deadline
            )
        except ProtocolError as error:
            logger.info("probe failed", host=host, reason=str(error))
            state.suspects.note_failure(host, state.clock.now())
            return
        state.suspects.note_answer(host)
        replies_by_host[host] = reply

    with anyio.move_on_after(PROBE_TIMEOUT_S) as scope:
        async with anyio.create_task_group() as task_group:
            for each in candidates:
                task_group.start_soon(probe_one, each.host)
    if scope.cancelled_caught:
        for each in candidates:
            if each.host not in replies_by_host:
                state.suspects.note_failure(each.host, state.clock.now())
    return _build_offers(state, candidates, replies_by_host)


async def _send_probe(
    state: RouterState,
    host: str,
    placement_request: PlacementRequest,
    organisation: str,
    deadline: float,
) -> ProbeReply:
    link = await state.links.get(host)
    probe = Probe(
        link.next_request_id(),
        organisation,
        placement_request.levels,
        placement_request.prompt_tokens,
        placement_request.priority,
        deadline,
    )
    return await link.probe(probe)


def _build_offers(
    state: RouterState,
    candidates: Sequence[Candidate],
    replies_by_host: dict[str, ProbeReply],
) -> tuple[Offer, ...]:
    offers = []
    for candidate in candidates:
        reply = replies_by_host.get(candidate.host)
        if reply is None:
            continue
        # An endpoint that is neither leaving nor ready, for example because it loads
        # weights, makes no offer but is probed again for later requests.
        if reply.leaving:
            state.directory.note_leaving(candidate.host)
        elif reply.ready:
            offers.append(
                Offer(
                    candidate, reply.identity, reply.matched_tokens, reply.ttft_estimate
                )
            )
    return tuple(offers)
