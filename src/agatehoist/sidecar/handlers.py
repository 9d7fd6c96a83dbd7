"""Handlers of the messages that routers send to a sidecar."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from agatehoist.attempts.ledger import Reject, Start
from agatehoist.core.registry import Registry
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.attempt_messages import Acknowledge, Ping, Pong, Window
from agatehoist.protocol.messages import (
    Assignment,
    Cancel,
    Probe,
    ProbeReply,
    Refused,
    Resume,
    SubmitCall,
    SubmitCompletion,
)
from agatehoist.refusals.kinds import AnswerNotKept, OutcomeUnknown
from agatehoist.sidecar.answer_stream import cancel_execution, stream_answer
from agatehoist.sidecar.attempt_runner import run_call, run_completion
from agatehoist.sidecar.execution import Execution

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.sidecar.session import Session
    from agatehoist.sidecar.state import SidecarState

    Handler = Callable[[Session, Any], Awaitable[None]]

logger = get_logger("sidecar")

HANDLERS: Registry[Handler] = Registry("message handler")


@HANDLERS.register(Probe)
async def handle_probe(session: Session, probe: Probe) -> None:
    """Reply with the cached prefix and the estimated seconds to the first token."""
    state = session.state
    matched_tokens = state.cache_index.matched_tokens(probe.levels)
    missing_tokens = max(0, probe.prompt_tokens - matched_tokens)
    reply = ProbeReply(
        probe.probe_id,
        state.identity,
        matched_tokens,
        state.scheduler.placement_estimate(
            missing_tokens, probe.organisation, probe.priority, probe.levels
        ),
        state.ready,
        state.leaving,
    )
    await session.send(reply)


@HANDLERS.register(SubmitCompletion)
async def handle_completion(session: Session, submit: SubmitCompletion) -> None:
    """Start a completion and stream its answer."""
    continuation = submit.work.continuation
    first = continuation.tokens if continuation else 0
    await _start_attempt(session, submit.assignment, run_completion, submit, first)


@HANDLERS.register(SubmitCall)
async def handle_call(session: Session, submit: SubmitCall) -> None:
    """Start a service call and send its answer."""
    await _start_attempt(session, submit.assignment, run_call, submit, 0)


@HANDLERS.register(Resume)
async def handle_resume(session: Session, resume: Resume) -> None:
    """Stream the answer of an attempt from a token index on."""
    state = session.state
    decision = state.ledger.on_resume(resume, state.clock.now())
    if isinstance(decision, Reject):
        await session.send(Refused(resume.attempt_id, decision.refusal))
        return
    execution = state.executions_by_id.get(resume.attempt_id)
    if execution is None:
        error = AnswerNotKept.refuse("the answer is no longer kept")
        await session.send(Refused(resume.attempt_id, error.refusal))
        return
    session.start_soon(stream_answer, resume.attempt_id, execution, resume.first)


@HANDLERS.register(Cancel)
async def handle_cancel(session: Session, cancel: Cancel) -> None:
    """Cancel an attempt, unless its answer has been removed (see cancel_execution)."""
    state = session.state
    execution = state.executions_by_id.get(cancel.attempt_id)
    if execution is not None:
        state.task_group.start_soon(cancel_execution, state, execution)


@HANDLERS.register(Window)
async def handle_window(session: Session, window: Window) -> None:
    """Extend the flow control window of an answer."""
    execution = session.state.executions_by_id.get(window.attempt_id)
    if execution is not None:
        execution.extend_window(session, window.until)


@HANDLERS.register(Acknowledge)
async def handle_acknowledge(session: Session, message: Acknowledge) -> None:
    """Record that the router has received the final message."""
    execution = session.state.executions_by_id.get(message.attempt_id)
    if execution is not None:
        execution.acknowledge(session)


@HANDLERS.register(Ping)
async def handle_ping(session: Session, _ping: Ping) -> None:
    """Reply with a pong."""
    await session.send(Pong())


async def _start_attempt(
    session: Session,
    assignment: Assignment,
    run: Callable[..., Any],
    submit: Any,
    first: int,
) -> None:
    state = session.state
    decision = state.ledger.on_submit(
        assignment, state.identity, state.ready, state.clock.now()
    )
    if isinstance(decision, Reject):
        await session.send(Refused(assignment.attempt_id, decision.refusal))
    if not isinstance(decision, Start):
        # A repeated submit of a started attempt is ignored.
        return
    execution = Execution(assignment.deadline, first)
    state.executions_by_id[assignment.attempt_id] = execution
    # Counted as in flight here, as a shutdown may begin before the task first runs.
    tracking = ExitStack()
    tracking.enter_context(state.in_flight.track())
    state.task_group.start_soon(
        _run_and_report_exception, state, run, submit, execution, tracking
    )
    session.start_soon(stream_answer, assignment.attempt_id, execution, first)


async def _run_and_report_exception(
    state: SidecarState,
    run: Callable[..., Any],
    submit: Any,
    execution: Execution,
    tracking: ExitStack,
) -> None:
    """Run an attempt; its outcome is unknown after an unexpected exception.

    `tracking` counts the attempt as in flight until then.
    """
    with tracking:
        try:
            await run(state, submit, execution)
        except Exception as error:
            # The process owns the task group, so an exception here would end it.
            logger.error("attempt failed", exc_info=error)
            unknown = OutcomeUnknown.refuse("an internal error occurred in the sidecar")
            attempt_id = submit.assignment.attempt_id
            execution.finish(Refused(attempt_id, unknown.refusal))
