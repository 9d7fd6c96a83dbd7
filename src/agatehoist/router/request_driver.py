"""Execution of the decisions of a request's state machine over links to sidecars."""

from __future__ import annotations

from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.attempts.machine import RequestMachine
from agatehoist.attempts.types import (
    CallerDisconnected,
    CancelAttempt,
    DeadlinePassed,
    Decision,
    Deliver,
    Drop,
    Event,
    FindOffers,
    Finish,
    LinkLost,
    NotWritten,
    Offered,
    Refuse,
    ResumeAnswer,
    ResumeFailed,
    RetryRules,
    Submit,
    Target,
)
from agatehoist.core.registry import Registry
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import (
    DROPPED_FRAMES_TOTAL,
    RESUMES_TOTAL,
    RETRIES_TOTAL,
)
from agatehoist.protocol.attempt_messages import Acknowledge, Window
from agatehoist.protocol.errors import (
    ConnectionLostError,
    NotWrittenError,
    ProtocolError,
)
from agatehoist.protocol.flow_control import WINDOW_TOKENS, next_window
from agatehoist.protocol.link import receive_from
from agatehoist.protocol.messages import Cancel, Resume
from agatehoist.refusals import RequestRefusedError
from agatehoist.router.frames import event_from_frame

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from anyio.streams.memory import MemoryObjectReceiveStream

    from agatehoist.placement.types import Offer
    from agatehoist.protocol.link import Link
    from agatehoist.router.state import RouterState

logger = get_logger("router")

CANCEL_TIMEOUT_S = 1.0

DECISION_HANDLERS: Registry[Callable[..., Any]] = Registry("attempt decision")


@dataclass(frozen=True, slots=True)
class Delivery:
    """Hold pieces or the end of an answer, with the attempt that sent them."""

    target: Target
    decision: Deliver | Finish


class RequestDriver:
    """Execute the decisions of one request's state machine and pass it the events."""

    def __init__(
        self,
        state: RouterState,
        organisation: str,
        rules: RetryRules,
        find_offers: Callable[[], Awaitable[tuple[Offer, ...]]],
        make_submit: Callable[[Submit], Any],
        before_submit: Callable[[Target], Awaitable[None]] | None = None,
    ) -> None:
        self._state = state
        self._organisation = organisation
        self._rules = rules
        self._find_offers = find_offers
        self._make_submit = make_submit
        self._before_submit = before_submit
        self._machine = RequestMachine(
            rules, state.retry_budget, state.next_attempt_id, state.rng
        )
        # The deadline that the attempt was submitted with. A resume carries it, since
        # the sidecar's record of the attempt is kept for a time after it.
        self._attempt_deadline = rules.deadline
        self._link: Link | None = None
        self._messages: MemoryObjectReceiveStream[Any] | None = None
        self._subscription = ExitStack()
        self._window_end_token = 0
        self._submit_count = 0

    def run(self) -> AsyncGenerator[Delivery]:
        """Yield the pieces of the answer and its end.

        Raises RequestRefusedError.
        """
        return self._run(self._machine.start(self._now()))

    def resume_attempt(
        self, target: Target, first: int, attempt_deadline: float
    ) -> AsyncGenerator[Delivery]:
        """Yield the answer of an attempt of another router from token `first` on.

        Raises RequestRefusedError.
        """
        self._attempt_deadline = attempt_deadline
        return self._run(self._machine.resume_attempt(target, first, self._now()))

    async def _run(
        self, initial_decisions: tuple[Decision, ...]
    ) -> AsyncGenerator[Delivery]:
        pending = deque(initial_decisions)
        try:
            while True:
                while pending:
                    decision = pending.popleft()
                    if isinstance(decision, Deliver | Finish):
                        assert self._machine.target is not None
                        yield Delivery(self._machine.target, decision)
                        await self._extend_window(decision)
                    pending.extend(await self._perform(decision))
                if self._machine.ended:
                    return
                event = await self._next_event()
                pending.extend(self._machine.handle(event, self._now()))
        finally:
            await self._close()

    async def _perform(self, decision: Decision) -> tuple[Decision, ...]:
        event = await DECISION_HANDLERS[type(decision)](self, decision)
        if event is None:
            return ()
        return self._machine.handle(event, self._now())

    @DECISION_HANDLERS.register(FindOffers)
    async def _search_offers(self, decision: FindOffers) -> Event:
        if not await self._sleep_until(decision.at):
            return DeadlinePassed()
        return Offered(await self._find_offers())

    @DECISION_HANDLERS.register(Submit)
    async def _submit(self, decision: Submit) -> Event | None:
        target = decision.target
        self._submit_count += 1
        if self._submit_count > 1:
            RETRIES_TOTAL.inc({})
        self._unsubscribe()
        if self._before_submit is not None:
            await self._before_submit(target)
        try:
            link = await self._state.links.get(target.host)
            self._subscribe(link, target, len(decision.pieces))
            await link.send(self._make_submit(decision))
        except NotWrittenError as error:
            return NotWritten(target.attempt_id, str(error))
        except ConnectionLostError as error:
            # No link could be opened, so nothing was sent.
            if self._link is None:
                return NotWritten(target.attempt_id, str(error))
            return LinkLost(target.attempt_id)
        except ProtocolError as error:
            return NotWritten(target.attempt_id, str(error))
        return None

    @DECISION_HANDLERS.register(ResumeAnswer)
    async def _resume(self, decision: ResumeAnswer) -> Event | None:
        target = decision.target
        self._unsubscribe()
        RESUMES_TOTAL.inc({})
        if not await self._sleep_until(decision.at):
            return DeadlinePassed()
        try:
            link = await self._state.links.get(target.host)
            if link.peer.incarnation != target.sidecar_incarnation:
                return ResumeFailed(target.attempt_id, True)
            self._subscribe(link, target, decision.first)
            resume = Resume(
                target.attempt_id,
                decision.first,
                self._organisation,
                self._attempt_deadline,
            )
            await link.send(resume)
        except ProtocolError as error:
            logger.info("resume failed", host=target.host, reason=str(error))
            return ResumeFailed(target.attempt_id, False)
        return None

    @DECISION_HANDLERS.register(CancelAttempt)
    async def _cancel(self, decision: CancelAttempt) -> None:
        if self._link is None:
            return
        with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            await self._send_if_linked(Cancel(decision.target.attempt_id))

    @DECISION_HANDLERS.register(Drop)
    async def _drop(self, decision: Drop) -> None:
        DROPPED_FRAMES_TOTAL.inc({"fault": str(decision.fault)})

    @DECISION_HANDLERS.register(Deliver)
    async def _delivered(self, _decision: Deliver) -> None:
        # _run has yielded the pieces.
        pass

    @DECISION_HANDLERS.register(Finish)
    async def _acknowledge(self, _decision: Finish) -> None:
        assert self._machine.target is not None
        await self._send_if_linked(Acknowledge(self._machine.target.attempt_id))

    @DECISION_HANDLERS.register(Refuse)
    async def _refuse(self, decision: Refuse) -> None:
        raise RequestRefusedError(decision.refusal)

    async def _next_event(self) -> Event:
        assert self._machine.target is not None
        assert self._messages is not None
        attempt_id = self._machine.target.attempt_id
        with anyio.move_on_after(max(0, self._rules.deadline - self._now())):
            try:
                return event_from_frame(await receive_from(self._messages))
            except ConnectionLostError:
                return LinkLost(attempt_id)
        return DeadlinePassed()

    async def _extend_window(self, decision: Deliver | Finish) -> None:
        """Extend the flow control window once the caller has read enough tokens."""
        if not isinstance(decision, Deliver):
            return
        consumed = decision.first + len(decision.pieces)
        until = next_window(consumed, self._window_end_token)
        if until > self._window_end_token and self._machine.target is not None:
            self._window_end_token = until
            await self._send_if_linked(Window(self._machine.target.attempt_id, until))

    async def _send_if_linked(self, message: object) -> None:
        # _next_event reports a lost link, so a failed send is only logged.
        if self._link is None:
            return
        try:
            await self._link.send(message)
        except ConnectionLostError:
            logger.debug("message to the sidecar not sent", kind=type(message).__name__)

    async def _close(self) -> None:
        if not self._machine.ended:
            for decision in self._machine.handle(CallerDisconnected(), self._now()):
                await self._perform(decision)
        self._unsubscribe()

    def _subscribe(self, link: Link, target: Target, first: int) -> None:
        self._unsubscribe()
        self._link = link
        self._window_end_token = first + WINDOW_TOKENS
        self._messages = self._subscription.enter_context(
            link.subscribe(target.attempt_id)
        )

    def _unsubscribe(self) -> None:
        self._subscription.close()
        self._subscription = ExitStack()
        self._link = None

    async def _sleep_until(self, at: float) -> bool:
        """Sleep until an epoch time or the deadline; return False at the deadline."""
        await anyio.sleep(max(0, min(at, self._rules.deadline) - self._now()))
        return self._now() < self._rules.deadline

    def _now(self) -> float:
        return self._state.clock.now()
