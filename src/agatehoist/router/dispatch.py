"""Dispatch of requests to endpoints."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING

from agatehoist.attempts.types import (
    Deliver,
    Ending,
    Finish,
    RetryRules,
    Submit,
    Target,
)
from agatehoist.core.work import Continuation, Priority
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import PlacementRequest
from agatehoist.protocol.messages import (
    Assignment,
    CallReply,
    SubmitCall,
    SubmitCompletion,
)
from agatehoist.refusals.kinds import UnknownModel
from agatehoist.router import offer_search
from agatehoist.router.directory import ENGINE, SERVICE
from agatehoist.router.request_driver import RequestDriver
from agatehoist.router.requests import CallAnswer, Delta, Finished, Started

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from agatehoist.core.work import PrefixLevel
    from agatehoist.placement.types import Offer
    from agatehoist.router.request_driver import Delivery
    from agatehoist.router.requests import (
        CallRequest,
        CompletionRequest,
        ResumeRequest,
    )
    from agatehoist.router.state import RouterState

    CompletionEvents = AsyncGenerator[Started | Delta | Finished]


async def complete(state: RouterState, request: CompletionRequest) -> CompletionEvents:
    """Yield the endpoint that runs a completion, its pieces and its end.

    Raises RequestRefusedError.
    """
    levels = _prefix_levels(state, request)

    async def find_offers() -> tuple[Offer, ...]:
        return await _find_completion_offers(state, request, levels)

    def make_submit(submit: Submit) -> SubmitCompletion:
        work = request.work
        if submit.pieces:
            continuation = Continuation("".join(submit.pieces), len(submit.pieces))
            work = replace(work, continuation=continuation)
        assignment = _make_assignment(state, request, request.priority, submit)
        return SubmitCompletion(assignment, levels, work)

    rules = RetryRules(
        True, request.deadline, request.work.max_tokens, request.work.prompt_tokens
    )
    driver = RequestDriver(state, request.organisation, rules, find_offers, make_submit)
    async with aclosing(_to_completion_events(driver.run())) as events:
        async for event in events:
            yield event


async def resume_completion(
    state: RouterState, request: ResumeRequest
) -> CompletionEvents:
    """Yield the rest of a completion that another router began to send.

    Raises RequestRefusedError.
    """
    rules = RetryRules(True, request.deadline, max_dispatches=1)
    driver = RequestDriver(state, request.organisation, rules, _no_offers, _no_submit)
    deliveries = driver.resume_attempt(
        request.target, request.first, request.attempt_deadline
    )
    async with aclosing(_to_completion_events(deliveries)) as events:
        async for event in events:
            yield event


async def call(
    state: RouterState,
    request: CallRequest,
    before_submit: Callable[[Target], Awaitable[None]] | None = None,
) -> CallAnswer:
    """Return the complete answer of a service call.

    Raises RequestRefusedError.
    """

    async def find_offers() -> tuple[Offer, ...]:
        return await _find_call_offers(state, request)

    def make_submit(submit: Submit) -> SubmitCall:
        # A call has no prompt, so it ranks with the requests that have a short one.
        return SubmitCall(
            _make_assignment(state, request, Priority.SHORT, submit), request.work
        )

    # A call with an idempotency key may be submitted again, since its claim is written
    # before each submit.
    rules = RetryRules(
        request.idempotent,
        request.deadline,
        max_dispatches=None if request.idempotent or request.key else 1,
    )
    driver = RequestDriver(
        state, request.organisation, rules, find_offers, make_submit, before_submit
    )
    return await _read_single_reply(driver.run())


async def resume_call(
    state: RouterState, request: CallRequest, target: Target, attempt_deadline: float
) -> CallAnswer:
    """Return the complete answer of a service call that another router submitted.

    Raises RequestRefusedError.
    """
    rules = RetryRules(False, request.deadline, max_dispatches=1)
    driver = RequestDriver(state, request.organisation, rules, _no_offers, _no_submit)
    return await _read_single_reply(driver.resume_attempt(target, 0, attempt_deadline))


async def _to_completion_events(
    deliveries: AsyncGenerator[Delivery],
) -> CompletionEvents:
    started = False
    async with aclosing(deliveries):
        async for each in deliveries:
            if not started:
                yield Started(each.target)
                started = True
            if isinstance(each.decision, Deliver):
                texts = each.decision.pieces
                until = each.decision.first + len(texts)
                yield Delta("".join(texts), until, each.target)
            else:
                yield _make_finished(each.decision)


async def _read_single_reply(deliveries: AsyncGenerator[Delivery]) -> CallAnswer:
    async with aclosing(deliveries):
        async for each in deliveries:
            assert isinstance(each.decision, Finish)
            reply = each.decision.result
            assert isinstance(reply, CallReply)
            host = each.target.host
            # Don't return here: the driver acknowledges the reply only when the loop
            # asks for the next delivery.
            answer = CallAnswer(host, reply.status, reply.headers_by_name, reply.body)
    return answer


def _make_finished(decision: Finish) -> Finished:
    end = decision.result
    assert isinstance(end, Ending)
    return Finished(
        end.finish_reason, end.prompt_tokens, end.piece_count, end.cached_tokens
    )


async def _no_offers() -> tuple[Offer, ...]:
    return ()


def _no_submit(_submit: Submit) -> None:
    raise AssertionError("an attempt of another router is never submitted again")


def _prefix_levels(
    state: RouterState, request: CompletionRequest
) -> tuple[PrefixLevel, ...]:
    model = state.configuration.models_by_name.get(request.model)
    if model is None:
        raise UnknownModel.refuse(f"model {request.model!r} is no longer configured")
    salt = salt_for(request.organisation, request.model, model.weights_version)
    return find_levels(request.parts, salt)


async def _find_completion_offers(
    state: RouterState, request: CompletionRequest, levels: tuple[PrefixLevel, ...]
) -> tuple[Offer, ...]:
    model = state.configuration.models_by_name.get(request.model)
    if model is None:
        return ()
    placement_request = PlacementRequest(
        levels,
        request.work.prompt_tokens,
        request.priority,
        state.settings.node.data_centre,
    )
    policy = POLICIES[model.placement]()
    candidates = state.directory.candidates(ENGINE, request.model)
    candidates_to_try = state.suspects.candidates_to_try(candidates, state.clock.now())
    return await offer_search.find_offers(
        state,
        policy,
        placement_request,
        candidates_to_try,
        request.organisation,
        request.deadline,
    )


async def _find_call_offers(
    state: RouterState, request: CallRequest
) -> tuple[Offer, ...]:
    placement_request = PlacementRequest(
        (), 0, Priority.SHORT, state.settings.node.data_centre
    )
    policy = POLICIES["random"]()
    candidates = state.directory.candidates(SERVICE, request.service)
    candidates_to_try = state.suspects.candidates_to_try(candidates, state.clock.now())
    return await offer_search.find_offers(
        state,
        policy,
        placement_request,
        candidates_to_try,
        request.organisation,
        request.deadline,
    )


def _make_assignment(
    state: RouterState,
    request: CompletionRequest | CallRequest,
    priority: Priority,
    submit: Submit,
) -> Assignment:
    organisation = state.configuration.organisations_by_name.get(request.organisation)
    return Assignment(
        submit.target.attempt_id,
        request.organisation,
        submit.offer.identity,
        priority,
        request.deadline,
        organisation.weight if organisation else 1.0,
    )
