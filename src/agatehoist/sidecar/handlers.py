"""What a sidecar does on each message."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.core.registry import Registry
from agatehoist.protocol.messages import (
    Assignment,
    Cancel,
    Probe,
    ProbeReply,
    Refused,
    Resume,
    SubmitCall,
    SubmitCompletion,
    Tokens,
)
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import (
    DeadlineExceeded,
    Leaving,
    OutcomeUnknown,
    StalePlacement,
)
from agatehoist.sidecar.execution import Execution
from agatehoist.sidecar.running import run_call, run_completion

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.core.identity import AttemptId
    from agatehoist.sidecar.session import Session
    from agatehoist.sidecar.state import SidecarState

    Handler = Callable[[Session, Any], Awaitable[None]]

HANDLERS: Registry[Handler] = Registry("message handler")

MAX_TOKENS_PER_FRAME = 256


@HANDLERS.register(Probe)
async def handle_probe(session: Session, probe: Probe) -> None:
    """Answer with what the endpoint could do for the prompt."""
    state = session.state
    matched_tokens = state.picture.matched_tokens(probe.levels)
    missing_tokens = max(0, probe.prompt_tokens - matched_tokens)
    reply = ProbeReply(
        probe.probe_id,
        state.identity,
        matched_tokens,
        state.load.ttft_estimate(missing_tokens),
        not state.ready,
    )
    await session.send(reply)


@HANDLERS.register(SubmitCompletion)
async def handle_completion(session: Session, submit: SubmitCompletion) -> None:
    """Start a completion and stream its answer."""
    await _start(session, submit.assignment, run_completion, submit)


@HANDLERS.register(SubmitCall)
async def handle_call(session: Session, submit: SubmitCall) -> None:
    """Start a service call and send its answer."""
    await _start(session, submit.assignment, run_call, submit)


@HANDLERS.register(Resume)
async def handle_resume(session: Session, resume: Resume) -> None:
    """Send the answer of an attempt from a token on."""
    execution = session.state.executions_by_id.get(resume.attempt_id)
    if execution is None:
        error = OutcomeUnknown.refuse("the answer is no longer kept")
        await session.send(Refused(resume.attempt_id, error.refusal))
        return
    session.start_soon(stream_answer, resume.attempt_id, execution, resume.first)


@HANDLERS.register(Cancel)
async def handle_cancel(session: Session, cancel: Cancel) -> None:
    """Stop an attempt."""
    execution = session.state.executions_by_id.get(cancel.attempt_id)
    if execution is not None:
        execution.scope.cancel()


async def stream_answer(
    session: Session, attempt_id: AttemptId, execution: Execution, first: int
) -> None:
    """Send the tokens from first on as they come, then the ending."""
    with session.state.in_flight.track():
        await _stream(session, attempt_id, execution, first)


async def _stream(
    session: Session, attempt_id: AttemptId, execution: Execution, first: int
) -> None:
    while True:
        await execution.wait_past(first)
        texts = tuple(execution.texts[first : first + MAX_TOKENS_PER_FRAME])
        if not texts:
            break
        await session.send(Tokens(attempt_id, first, texts))
        first += len(texts)
    await session.send(execution.ending)


async def _start(
    session: Session, assignment: Assignment, run: Callable[..., Any], submit: Any
) -> None:
    state = session.state
    try:
        _check(session, assignment)
    except RequestRefusedError as error:
        await session.send(Refused(assignment.attempt_id, error.refusal))
        return
    execution = Execution(assignment.deadline)
    state.executions_by_id[assignment.attempt_id] = execution
    state.task_group.start_soon(_run_tracked, state, run, submit, execution)
    session.start_soon(stream_answer, assignment.attempt_id, execution, 0)


async def _run_tracked(
    state: SidecarState, run: Callable[..., Any], submit: Any, execution: Execution
) -> None:
    with state.in_flight.track():
        await run(state, submit, execution)


def _check(session: Session, assignment: Assignment) -> None:
    state = session.state
    if not state.ready:
        raise Leaving.refuse("the endpoint takes no new work")
    if assignment.identity != state.identity:
        raise StalePlacement.refuse("the endpoint has changed since it was asked")
    if assignment.deadline <= state.clock.now():
        raise DeadlineExceeded.refuse("the deadline passed before the start")
    if assignment.attempt_id in state.executions_by_id:
        raise OutcomeUnknown.refuse("the attempt was started before")
