"""Execution of attempts on the endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.cache.types import PromptReport
from agatehoist.endpoints.engine import EngineClient
from agatehoist.endpoints.errors import (
    EndpointChangedError,
    EndpointError,
    EndpointFailedError,
    EndpointNotReachedError,
    EndpointRejectedError,
)
from agatehoist.endpoints.service import ServiceClient, drop_hop_by_hop_headers
from agatehoist.endpoints.types import EndpointStatus, EngineTokens
from agatehoist.observability.metrics import HIT_TOKENS, RECOMPUTED_TOKENS
from agatehoist.placement.levels import salt_for
from agatehoist.protocol.messages import CallReply, CompletionEnd, Refused
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import (
    EndpointFailed,
    EndpointRejected,
    NoEndpoint,
    NotStarted,
    OutcomeUnknown,
    StalePlacement,
)

if TYPE_CHECKING:
    from agatehoist.endpoints.types import EngineEnd
    from agatehoist.protocol.messages import SubmitCall, SubmitCompletion
    from agatehoist.refusals.types import Refusal
    from agatehoist.sidecar.execution import Execution
    from agatehoist.sidecar.scheduler_driver import JobHandle
    from agatehoist.sidecar.state import SidecarState


async def run_completion(
    state: SidecarState, submit: SubmitCompletion, execution: Execution
) -> None:
    """Run a completion on the engine and buffer its answer."""
    attempt_id = submit.assignment.attempt_id
    # Probes for a prompt with the same prefix count it as cached already.
    state.cache_index.expect(attempt_id, submit.levels)
    try:
        with execution.scope:
            async with state.scheduler.completion_slot(submit) as handle:
                _check_unchanged(state, submit)
                await _collect_completion(state, submit, execution, handle)
    except RequestRefusedError as error:
        execution.finish(Refused(attempt_id, error.refusal))
    except EndpointError as error:
        execution.finish(Refused(attempt_id, refusal_for(error)))
    finally:
        state.cache_index.stop_expecting(attempt_id)
    if execution.scope.cancelled_caught:
        execution.finish(Refused(attempt_id, _cancellation_refusal(execution)))


async def run_call(
    state: SidecarState, submit: SubmitCall, execution: Execution
) -> None:
    """Run a service call and buffer its answer."""
    attempt_id = submit.assignment.attempt_id
    assert isinstance(state.client, ServiceClient)
    try:
        async with state.scheduler.call_slot(submit, execution.scope):
            execution.mark_started(state.clock.now(), 0.0)
            reply = await state.client.call(submit.work)
    except RequestRefusedError as error:
        execution.finish(Refused(attempt_id, error.refusal))
        return
    except EndpointError as error:
        execution.finish(Refused(attempt_id, refusal_for(error)))
        return
    headers_by_name = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in reply.head.headers
    }
    headers_by_name = drop_hop_by_hop_headers(headers_by_name)
    execution.finish(
        CallReply(attempt_id, reply.head.status, headers_by_name, reply.body)
    )


def refusal_for(error: EndpointError) -> Refusal:
    """Return the refusal that reports an endpoint error to a router."""
    if isinstance(error, EndpointNotReachedError):
        return NoEndpoint.refuse(str(error)).refusal
    if isinstance(error, EndpointChangedError):
        return StalePlacement.refuse(str(error)).refusal
    if isinstance(error, EndpointRejectedError):
        return EndpointRejected.refuse(str(error)).refusal
    if isinstance(error, EndpointFailedError):
        return EndpointFailed.refuse(str(error)).refusal
    # The other errors don't tell whether the request ran.
    return OutcomeUnknown.refuse(str(error)).refusal


def _check_unchanged(state: SidecarState, submit: SubmitCompletion) -> None:
    """Check that the engine has not changed while the attempt was queued.

    The cache salt names the weights of the identity, so no others may run under it.
    Raises RequestRefusedError.
    """
    if state.is_known_to_differ_from(submit.assignment.identity):
        detail = "the endpoint has changed while the attempt was queued"
        raise StalePlacement.refuse(detail)


async def _collect_completion(
    state: SidecarState,
    submit: SubmitCompletion,
    execution: Execution,
    handle: JobHandle,
) -> None:
    assignment = submit.assignment
    assert isinstance(state.client, EngineClient)
    salt = salt_for(
        assignment.organisation,
        state.settings.endpoint.serves,
        assignment.identity.weights_version,
    )
    execution.mark_started(state.clock.now(), handle.prefill_s)
    expected_status = EndpointStatus(
        assignment.identity.endpoint_incarnation, assignment.identity.weights_version
    )
    answer = state.client.complete(
        submit.work, salt.hex(), handle.endpoint_priority, expected_status
    )
    async for event in answer:
        state.answered_at = state.clock.now()
        # Only the first report has an effect.
        handle.report_first_token()
        if isinstance(event, EngineTokens):
            execution.append(event.texts)
            await execution.wait_for_buffer_space()
        else:
            _finish_completion(state, submit, execution, event)
            handle.report_end(event, execution.answer_tokens)


def _finish_completion(
    state: SidecarState,
    submit: SubmitCompletion,
    execution: Execution,
    end: EngineEnd,
) -> None:
    _record_prompt(state, submit, end)
    HIT_TOKENS.add({}, end.cached_tokens)
    RECOMPUTED_TOKENS.add({}, end.prompt_tokens - end.cached_tokens)
    execution.finish(
        CompletionEnd(
            submit.assignment.attempt_id,
            len(execution.texts),
            end.finish_reason,
            end.prompt_tokens,
            end.cached_tokens,
        )
    )


def _record_prompt(
    state: SidecarState, submit: SubmitCompletion, end: EngineEnd
) -> None:
    if submit.work.continuation is not None:
        # The engine's blocks then cover the continuation as well, so they can't be
        # matched to the levels of the prompt.
        return
    report = PromptReport(end.prompt_tokens, end.cached_tokens, end.block_hashes)
    state.cache_index.record(submit.assignment.attempt_id, report)
    state.wake_cache_resync_if_needed()


def _cancellation_refusal(execution: Execution) -> Refusal:
    if not execution.started:
        return NotStarted.refuse("the attempt was cancelled before its start").refusal
    return OutcomeUnknown.refuse("the attempt was cancelled").refusal
