"""Rate limits before dispatch: admit a request, wait for a lease or refuse it.

The home of an organisation is the sidecar host, chosen by a hash of the name, that
grants leases on the organisation's ceiling.
"""

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
        self._leases = RouterLeases()

    async def admit(self, state: RouterState, organisation: str, tokens: int) -> None:
        """Return once a request is admitted; `tokens` counts those of its prompt.

        Raises RequestRefusedError if the ceiling doesn't admit the request.
        """
        ceiling = _configured_ceiling(state, organisation)
        if ceiling is None:
            return
        cost = Amount(1.0, tokens)
        now = state.clock.now()
        verdict = self._leases.admit(organisation, ceiling, cost, now)
        if isinstance(verdict, LeaseNeeded):
            verdict = await self._request_lease(
                state, organisation, ceiling, cost, verdict
            )
        if isinstance(verdict, Refuse):
            detail = "the organisation is over its ceiling"
            raise RateLimited.refuse(detail, verdict.retry_at)

    def count_answer_tokens(
        self, state: RouterState, organisation: str, tokens: int
    ) -> None:
        """Count the tokens of an answer against the ceiling."""
        if tokens and _configured_ceiling(state, organisation) is not None:
            self._leases.count_answer_tokens(organisation, tokens, state.clock.now())

    async def _request_lease(
        self,
        state: RouterState,
        organisation: str,
        ceiling: Ceiling,
        cost: Amount,
        needed: LeaseNeeded,
    ) -> Verdict:
        lease_request = LeaseRequestBody(
            state.settings.node.name,
            organisation,
            state.configuration.revision,
            ceiling,
            needed.need,
            needed.wish,
            needed.returned,
        )
        reply = await _request_lease_from_home(state, lease_request)
        now = state.clock.now()
        if reply is None:
            return self._leases.admit_without_home(organisation, ceiling, cost, now)
        return self._leases.grant(organisation, cost, needed, reply.grant, now)


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
            state.limiter.count_answer_tokens(state, organisation, answer_tokens)


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
    # An empty ceiling limits nothing.
    return None if ceiling == Ceiling() else ceiling


async def _request_lease_from_home(
    state: RouterState, body: LeaseRequestBody
) -> LeaseReply | None:
    home = home_host(state, body.organisation)
    if home is None:
        return None
    with anyio.move_on_after(LEASE_REQUEST_TIMEOUT_S):
        try:
            link = await state.links.get(home)
            return await _send_lease_request(link, body)
        except ProtocolError as error:
            logger.info("lease request failed", host=home, reason=str(error))
            return None
    logger.info("lease request timed out", host=home)
    return None


async def _send_lease_request(link: Link, body: LeaseRequestBody) -> LeaseReply:
    # Lease requests and probes on a link share the sequence of ids.
    request_id = link.next_request_id()
    with link.subscribe(request_id) as replies:
        await link.send(LeaseRequest(request_id, body))
        try:
            return await replies.receive()
        except anyio.EndOfStream:
            raise ConnectionLostError(
                "link closed before the lease reply arrived"
            ) from None
