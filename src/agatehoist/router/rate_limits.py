"""Rate limits before dispatch: admit a request, wait for a lease or refuse it."""

from __future__ import annotations

import hashlib
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from agatehoist.limits.router_leases import LeaseNeeded, RouterLeases
from agatehoist.limits.types import Amount, Ceiling, LeaseRequestBody, Refuse, Verdict
from agatehoist.observability.logs import get_logger
from agatehoist.placement.ranking import rank
from agatehoist.protocol.errors import ConnectionLostError, ProtocolError
from agatehoist.protocol.limit_messages import LeaseReply, LeaseRequest
from agatehoist.refusals.kinds import RateLimited
from agatehoist.router import dispatch, keyed_calls
from agatehoist.router.requests import Delta

if TYPE_CHECKING:
    from agatehoist.protocol.link import Link
    from agatehoist.router.dispatch import CompletionEvents
    from agatehoist.router.requests import (
        CallAnswer,
        CallRequest,
        CompletionRequest,
    )
    from agatehoist.router.state import RouterState

logger = get_logger("limits")

LEASE_REQUEST_TIMEOUT_S = 0.1
HOME_KEY_BYTES = 16


class RateLimiter:
    """Admit or refuse requests by the leased share of an organisation's ceiling."""

    def __init__(self) -> None:
        self._shares = RouterLeases()

    async def admit(self, state: RouterState, organisation: str, tokens: int) -> None:
        """Return if the ceiling admits a request with this number of prompt tokens.

        Raises RequestRefusedError.
        """
        ceiling = _configured_ceiling(state, organisation)
        if ceiling is None:
            return
        cost = Amount(1.0, tokens)
        now = state.clock.now()
        verdict = self._shares.admit(organisation, ceiling, cost, now)
        if isinstance(verdict, LeaseNeeded):
            verdict = await self._request_lease(
                state, organisation, ceiling, cost, verdict
            )
        if isinstance(verdict, Refuse):
            detail = "the organisation is over its ceiling"
            raise RateLimited.refuse(detail, verdict.retry_at)

    def settle(self, state: RouterState, organisation: str, tokens: int) -> None:
        """Count the tokens of an answer against the ceiling."""
        if tokens and _configured_ceiling(state, organisation) is not None:
            self._shares.settle(organisation, tokens, state.clock.now())

    async def _request_lease(
        self,
        state: RouterState,
        organisation: str,
        ceiling: Ceiling,
        cost: Amount,
        ask: LeaseNeeded,
    ) -> Verdict:
        lease_ask = LeaseRequestBody(
            state.settings.node.name,
            organisation,
            state.configuration.revision,
            ceiling,
            ask.need,
            ask.wish,
            ask.returned,
        )
        reply = await _request_lease_from_home(state, lease_ask)
        now = state.clock.now()
        if reply is None:
            return self._shares.admit_without_home(organisation, ceiling, cost, now)
        return self._shares.grant(organisation, cost, ask, reply.grant, now)


async def complete(state: RouterState, request: CompletionRequest) -> CompletionEvents:
    """Yield the events of a completion if the organisation's ceiling admits it.

    Raises RequestRefusedError.
    """
    organisation = request.organisation
    await state.limiter.admit(state, organisation, request.work.prompt_tokens)
    answer_tokens = 0
    async with aclosing(dispatch.complete(state, request)) as events:
        try:
            async for event in events:
                if isinstance(event, Delta):
                    answer_tokens = event.until
                yield event
        finally:
            state.limiter.settle(state, organisation, answer_tokens)


async def call(state: RouterState, request: CallRequest) -> CallAnswer:
    """Return the answer of a service call if the organisation's ceiling admits it.

    Raises RequestRefusedError.
    """
    await state.limiter.admit(state, request.organisation, 0)
    if request.key is None:
        return await dispatch.call(state, request)
    return await keyed_calls.call_once(state, request)


def home_host(state: RouterState, organisation: str) -> str | None:
    """Return the host that grants leases on an organisation's ceiling."""
    key = hashlib.blake2b(organisation.encode(), digest_size=HOME_KEY_BYTES).digest()
    ranked = rank(key, state.directory.live(), 1)
    return ranked[0].host if ranked else None


def _configured_ceiling(state: RouterState, organisation: str) -> Ceiling | None:
    configured = state.configuration.organisations_by_name.get(organisation)
    if configured is None:
        return None
    ceiling = Ceiling(configured.requests_per_s, configured.tokens_per_s)
    return None if ceiling == Ceiling() else ceiling


async def _request_lease_from_home(
    state: RouterState, ask: LeaseRequestBody
) -> LeaseReply | None:
    home = home_host(state, ask.organisation)
    if home is None:
        return None
    with anyio.move_on_after(LEASE_REQUEST_TIMEOUT_S):
        try:
            link = await state.links.get(home)
            return await _exchange(link, ask)
        except ProtocolError as error:
            logger.info("lease request failed", host=home, reason=str(error))
            return None
    logger.info("lease request timed out", host=home)
    return None


async def _exchange(link: Link, ask: LeaseRequestBody) -> LeaseReply:
    request_id = link.next_request_id()
    with link.subscribe(request_id) as replies:
        await link.send(LeaseRequest(request_id, ask))
        try:
            return await replies.receive()
        except anyio.EndOfStream:
            raise ConnectionLostError(
                "link closed before the lease reply arrived"
            ) from None
