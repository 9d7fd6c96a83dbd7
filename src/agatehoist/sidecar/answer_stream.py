"""Streaming of answers to routers, and cancellation of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.attempts.cancellation import cancellation_time
from agatehoist.protocol.messages import Tokens
from agatehoist.sidecar.execution import EXECUTION_RETENTION_S

if TYPE_CHECKING:
    from agatehoist.core.identity import AttemptId
    from agatehoist.sidecar.execution import Execution, Reader
    from agatehoist.sidecar.session import Session
    from agatehoist.sidecar.state import SidecarState

MAX_TOKENS_PER_FRAME = 256
ACKNOWLEDGE_TIMEOUT_S = 5.0
ABANDON_TIMEOUT_S = 15.0


async def stream_answer(
    session: Session, attempt_id: AttemptId, execution: Execution, first_index: int
) -> None:
    """Send the tokens from an index on, then the final message.

    The router's flow control window limits how far ahead of it tokens are sent.

    The stream counts as in flight until the final message is acknowledged, so that a
    shutdown doesn't cut off messages that the router has not received.
    """
    state = session.state
    reader = execution.attach(session, first_index)
    try:
        with state.in_flight.track():
            await _send_answer(session, attempt_id, execution, reader, first_index)
    finally:
        now = state.clock.now()
        execution.detach(session, reader, now + ABANDON_TIMEOUT_S)
        if execution.final_message is not None:
            execution.retained_until = now + EXECUTION_RETENTION_S


async def cancel_execution(state: SidecarState, execution: Execution) -> None:
    """Cancel an attempt, at once or after its prefill if that is close to its end.

    See cancellation_time.
    """
    prefill = None if execution.has_tokens else execution.prefill
    now = state.clock.now()
    with anyio.move_on_after(cancellation_time(prefill, now) - now):
        await execution.wait_first_token()
    execution.is_settled = True
    execution.scope.cancel()


async def _send_answer(
    session: Session,
    attempt_id: AttemptId,
    execution: Execution,
    reader: Reader,
    first_index: int,
) -> None:
    while True:
        end_index = await execution.wait_sendable(reader, first_index)
        if not reader.attached:
            return
        if end_index <= first_index:
            # No token is left, so the final message is due.
            break
        end_index = min(end_index, first_index + MAX_TOKENS_PER_FRAME)
        texts = tuple(execution.texts[first_index:end_index])
        await session.send(Tokens(attempt_id, first_index, texts))
        first_index = end_index
    await session.send(execution.final_message)
    with anyio.move_on_after(ACKNOWLEDGE_TIMEOUT_S):
        await execution.wait_acknowledged(reader)
    # A router that goes on without an acknowledgement doesn't need the answer.
    execution.is_settled = True
