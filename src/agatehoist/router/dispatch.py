"""Dispatch of requests to endpoints."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.work import Priority, Run
from agatehoist.observability.logs import get_logger
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Question
from agatehoist.protocol.errors import ConnectionLostError, ProtocolError
from agatehoist.protocol.link import receive_from
from agatehoist.protocol.messages import (
    Assignment,
    CallReply,
    Cancel,
    CompletionEnd,
    Refused,
    SubmitCall,
    SubmitCompletion,
    Tokens,
)
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import NoEndpoint, OutcomeUnknown
from agatehoist.router.directory import ENGINE, SERVICE
from agatehoist.router.placing import find_offers
from agatehoist.router.requests import CallAnswer, Delta, Finished, Started

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from agatehoist.core.identity import AttemptId
    from agatehoist.core.work import PrefixLevel
    from agatehoist.placement.types import Offer
    from agatehoist.protocol.link import Link
    from agatehoist.router.requests import CallRequest, CompletionRequest
    from agatehoist.router.state import RouterState

logger = get_logger("router")

RETRY_DELAY_S = 1.0


async def complete(
    state: RouterState, request: CompletionRequest
) -> AsyncGenerator[Started | Delta | Finished]:
    """Yield where a completion runs, its pieces and its end.

    Raises RequestRefusedError.
    """
    levels = _levels_of(state, request)
    for offer in await _find_completion_offers(state, request, levels):
        try:
            async with aclosing(
                _attempt_completion(state, request, levels, offer)
            ) as events:
                async for event in events:
                    yield event
            return
        except RequestRefusedError as error:
            if error.refusal.run is not Run.NO:
                raise
            logger.info("attempt refused", reason=str(error))
    raise _no_endpoint(state)


async def call(state: RouterState, request: CallRequest) -> CallAnswer:
    """Return the whole answer of a service call.

    Raises RequestRefusedError.
    """
    for offer in await _find_call_offers(state, request):
        try:
            return await _attempt_call(state, request, offer)
        except RequestRefusedError as error:
            if error.refusal.run is not Run.NO:
                raise
            logger.info("attempt refused", reason=str(error))
    raise _no_endpoint(state)


def _no_endpoint(state: RouterState) -> RequestRefusedError:
    retry_at = state.clock.now() + RETRY_DELAY_S
    return NoEndpoint.refuse("no endpoint took the work", retry_at)


def _levels_of(
    state: RouterState, request: CompletionRequest
) -> tuple[PrefixLevel, ...]:
    model = state.configuration.models_by_name[request.model]
    salt = salt_for(request.organisation, request.model, model.weights_version)
    return find_levels(request.parts, salt)


async def _find_completion_offers(
    state: RouterState, request: CompletionRequest, levels: tuple[PrefixLevel, ...]
) -> tuple[Offer, ...]:
    model = state.configuration.models_by_name[request.model]
    question = Question(
        levels,
        request.work.prompt_tokens,
        request.priority,
        state.settings.node.data_centre,
    )
    policy = POLICIES[model.placement]()
    candidates = state.directory.candidates(ENGINE, request.model)
    return await find_offers(
        state, policy, question, candidates, request.organisation, request.deadline
    )


async def _find_call_offers(
    state: RouterState, request: CallRequest
) -> tuple[Offer, ...]:
    question = Question((), 0, Priority.SHORT, state.settings.node.data_centre)
    policy = POLICIES["random"]()
    candidates = state.directory.candidates(SERVICE, request.service)
    return await find_offers(
        state, policy, question, candidates, request.organisation, request.deadline
    )


async def _attempt_completion(
    state: RouterState,
    request: CompletionRequest,
    levels: tuple[PrefixLevel, ...],
    offer: Offer,
) -> AsyncGenerator[Started | Delta | Finished]:
    link = await _link_to(state, offer)
    assignment = _assign(state, request, request.priority, offer)
    attempt_id = assignment.attempt_id
    ended = False
    with link.subscribe(attempt_id) as messages:
        try:
            await _submit(link, SubmitCompletion(assignment, levels, request.work))
            first = await _receive(messages)
            _raise_refused(first)
            yield Started(offer.candidate.host)
            message = first
            while isinstance(message, Tokens):
                yield Delta("".join(message.texts))
                message = await _receive(messages)
                _raise_refused(message)
            assert isinstance(message, CompletionEnd)
            ended = True
            yield Finished(
                message.finish_reason,
                message.prompt_tokens,
                message.token_count,
                message.cached_tokens,
            )
        finally:
            if not ended:
                await _cancel(link, attempt_id)


async def _attempt_call(
    state: RouterState, request: CallRequest, offer: Offer
) -> CallAnswer:
    link = await _link_to(state, offer)
    assignment = _assign(state, request, Priority.SHORT, offer)
    with link.subscribe(assignment.attempt_id) as messages:
        await _submit(link, SubmitCall(assignment, request.work))
        reply = await _receive(messages)
    _raise_refused(reply)
    assert isinstance(reply, CallReply)
    return CallAnswer(
        offer.candidate.host, reply.status, reply.headers_by_name, reply.body
    )


def _assign(
    state: RouterState,
    request: CompletionRequest | CallRequest,
    priority: Priority,
    offer: Offer,
) -> Assignment:
    return Assignment(
        state.next_attempt_id(),
        request.organisation,
        offer.identity,
        priority,
        request.deadline,
    )


async def _link_to(state: RouterState, offer: Offer) -> Link:
    try:
        return await state.links.get(offer.candidate.host)
    except ProtocolError as error:
        raise NoEndpoint.refuse(str(error)) from error


async def _submit(link: Link, message: Any) -> None:
    try:
        await link.send(message)
    except ConnectionLostError as error:
        raise OutcomeUnknown.refuse(str(error)) from error


async def _receive(messages: Any) -> Tokens | CompletionEnd | CallReply | Refused:
    try:
        return await receive_from(messages)
    except ConnectionLostError as error:
        raise OutcomeUnknown.refuse(str(error)) from error


def _raise_refused(message: Any) -> None:
    if isinstance(message, Refused):
        raise RequestRefusedError(message.refusal)


async def _cancel(link: Link, attempt_id: AttemptId) -> None:
    with anyio.move_on_after(1, shield=True):
        try:
            await link.send(Cancel(attempt_id))
        except ConnectionLostError:
            logger.debug("cancel not sent", attempt=str(attempt_id))
