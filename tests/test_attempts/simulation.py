"""Simulation of one request, two sidecars and a faulty network on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, Any

from agatehoist.attempts import types
from agatehoist.attempts.budget import RetryBudget
from agatehoist.attempts.ledger import AttemptLedger, Reject, SendAnswer, Start
from agatehoist.attempts.machine import RequestMachine
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import Priority
from agatehoist.placement.types import Candidate, Offer
from agatehoist.protocol.messages import (
    Assignment,
    CallReply,
    Cancel,
    CompletionEnd,
    Refused,
    Resume,
    Tokens,
)
from agatehoist.refusals.kinds import EndpointFailed
from agatehoist.router.frames import event_from_frame
from tests.test_attempts.sidecars import Faults, Running, Sidecar

if TYPE_CHECKING:
    from collections.abc import Callable

ORGANISATION = "archive"
DEADLINE_S = 20.0
LAST_EVENT_AT_S = 200.0
TOKEN_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 1.0


class AttemptSimulation:
    """Simulate one request under a seeded fault schedule."""

    def __init__(
        self, seed: int, faults: Faults, tokens: int, idempotent: bool
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.token_count = tokens
        self.is_call = tokens == 0
        self.now = 0.0
        self.runs = 0
        self.delivered: list[str] = []
        self.result: types.Finish | types.Refuse | None = None
        self._event_numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sidecars_by_host = {host: Sidecar(host) for host in ("a", "b")}
        sequences = itertools.count(1)
        self.machine = RequestMachine(
            types.RetryRules(idempotent, DEADLINE_S, tokens, 1),
            RetryBudget(),
            lambda: AttemptId("r", next(sequences)),
            self.rng,
        )

    def run(self) -> None:
        """Run the simulation until no event is left."""
        for _ in range(
            self.faults.one_off_fault_count if self.faults.one_off_faults else 0
        ):
            fault = self.rng.choice(self.faults.one_off_faults)
            sidecar = self.rng.choice(list(self._sidecars_by_host.values()))
            # One of the methods _inject_cut to _inject_leave.
            action = getattr(self, f"_inject_{fault}")
            self._schedule(self.rng.uniform(0, 1.5), lambda a=action, s=sidecar: a(s))
        self._schedule(DEADLINE_S, lambda: self._handle_event(types.DeadlinePassed()))
        self._execute(self.machine.start(self.now))
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        if time <= LAST_EVENT_AT_S:
            heapq.heappush(
                self._queue, (max(time, self.now), next(self._event_numbers), action)
            )

    def _handle_event(self, event: types.Event) -> None:
        self._execute(self.machine.handle(event, self.now))

    def _execute(self, decisions: tuple[types.Decision, ...]) -> None:
        for each in decisions:
            if isinstance(each, types.Deliver):
                self.delivered += each.pieces
            elif isinstance(each, types.Finish | types.Refuse):
                self.result = each
            elif isinstance(each, types.FindOffers):
                # The probes take 3 ms.
                self._schedule(each.at + 0.003, self._send_offers)
            elif isinstance(each, types.Submit):
                self._submit(each)
            elif isinstance(each, types.ResumeAnswer):
                self._schedule(each.at, lambda each=each: self._resume(each))
            elif isinstance(each, types.CancelAttempt):
                sidecar = self._sidecars_by_host[each.target.host]
                self._send(sidecar, Cancel(each.target.attempt_id))

    def _send_offers(self) -> None:
        offers = [
            Offer(Candidate(each.host, "dc1"), each.identity, 0, 0.1)
            for each in self._sidecars_by_host.values()
            if self._is_reachable(each) and not each.leaving
        ]
        self.rng.shuffle(offers)
        self._handle_event(types.Offered(tuple(offers)))

    def _submit(self, submit: types.Submit) -> None:
        target = submit.target
        sidecar = self._sidecars_by_host[target.host]
        if not self._is_reachable(sidecar):
            self._schedule(
                self.now + CONNECT_TIMEOUT_S,
                lambda: self._handle_event(types.NotWritten(target.attempt_id, "down")),
            )
            return
        assignment = Assignment(
            target.attempt_id,
            ORGANISATION,
            submit.offer.identity,
            Priority.SHORT,
            DEADLINE_S,
        )
        self._send(sidecar, (assignment, len(submit.pieces)))

    def _resume(self, resume: types.ResumeAnswer) -> None:
        target = resume.target
        sidecar = self._sidecars_by_host[target.host]
        if not self._is_reachable(sidecar):
            failed = types.ResumeFailed(target.attempt_id, False)
            self._schedule(
                self.now + CONNECT_TIMEOUT_S, lambda: self._handle_event(failed)
            )
            return
        if sidecar.identity.sidecar_incarnation != target.sidecar_incarnation:
            self._handle_event(types.ResumeFailed(target.attempt_id, True))
            return
        self._send(
            sidecar, Resume(target.attempt_id, resume.first, ORGANISATION, DEADLINE_S)
        )

    def _is_reachable(self, sidecar: Sidecar) -> bool:
        return sidecar.up and sidecar.frozen_until <= self.now

    def _delays(self) -> list[float]:
        """Return the delay of each copy of a message that the network delivers."""
        if self.rng.random() < self.faults.loss_probability:
            return []
        copies = 2 if self.rng.random() < self.faults.duplicate_probability else 1
        slow = self.rng.random() < self.faults.slow_probability
        return [
            self.rng.uniform(0.5, 5.0) if slow else self.rng.uniform(0.001, 0.003)
            for _ in range(copies)
        ]

    def _send(self, sidecar: Sidecar, message: Any) -> None:
        restart_count, connection_count = (
            sidecar.restart_count,
            sidecar.connection_count,
        )
        # Applies only if the connection is cut before the message arrives.
        late_after_cut = self.rng.random() < self.faults.late_after_cut_probability
        for delay in self._delays():
            self._schedule(
                self.now + delay,
                lambda: self._arrive(
                    sidecar, restart_count, connection_count, late_after_cut, message
                ),
            )

    def _arrive(
        self,
        sidecar: Sidecar,
        restart_count: int,
        connection_count: int,
        late_after_cut: bool,
        message: Any,
    ) -> None:
        if sidecar.restart_count != restart_count or not sidecar.up:
            return
        if sidecar.connection_count != connection_count:
            if late_after_cut:
                later = self.now + self.rng.uniform(0.1, 3.0)
                self._schedule(
                    later, lambda: self._handle(sidecar, restart_count, message)
                )
            return
        self._handle(sidecar, restart_count, message)

    def _handle(self, sidecar: Sidecar, restart_count: int, message: Any) -> None:
        if sidecar.restart_count != restart_count or not sidecar.up:
            return
        if sidecar.frozen_until > self.now:
            self._schedule(
                sidecar.frozen_until,
                lambda: self._handle(sidecar, restart_count, message),
            )
        elif isinstance(message, Cancel):
            running = sidecar.running_by_id.get(message.attempt_id)
            if running is not None:
                running.cancelled = True
        elif isinstance(message, Resume):
            self._handle_resume(sidecar, message)
        else:
            self._handle_submit(sidecar, *message)

    def _handle_submit(
        self, sidecar: Sidecar, assignment: Assignment, first: int
    ) -> None:
        decision = sidecar.ledger.on_submit(
            assignment, sidecar.identity, not sidecar.leaving, self.now
        )
        attempt_id = assignment.attempt_id
        if isinstance(decision, Reject):
            self._reply(sidecar, Refused(attempt_id, decision.refusal))
        if isinstance(decision, Start):
            self.runs += 1
            running = Running([""] * first)
            sidecar.running_by_id[attempt_id] = running
            self._stream(sidecar, attempt_id, running, 0, first)
            self._produce(sidecar, attempt_id, running, sidecar.endpoint_restart_count)

    def _handle_resume(self, sidecar: Sidecar, resume: Resume) -> None:
        decision = sidecar.ledger.on_resume(resume, self.now)
        if isinstance(decision, SendAnswer):
            running = sidecar.running_by_id[resume.attempt_id]
            running.reader_number += 1
            self._stream(
                sidecar, resume.attempt_id, running, running.reader_number, resume.first
            )
        else:
            self._reply(sidecar, Refused(resume.attempt_id, decision.refusal))

    def _produce(
        self,
        sidecar: Sidecar,
        attempt_id: AttemptId,
        running: Running,
        restart_count_at_start: int,
    ) -> None:
        if running.cancelled or not sidecar.up:
            return
        if sidecar.endpoint_restart_count != restart_count_at_start:
            failed = EndpointFailed.refuse("endpoint died").refusal
            running.ending = Refused(attempt_id, failed)
        elif self.is_call:
            running.ending = CallReply(attempt_id, 201, {}, b"done")
        elif len(running.texts) == self.token_count:
            running.ending = CompletionEnd(attempt_id, len(running.texts), "stop", 1, 0)
        else:
            running.texts.append(f"{attempt_id.sequence}.{len(running.texts)}")
            self._schedule(
                self.now + TOKEN_INTERVAL_S,
                lambda: self._produce(
                    sidecar, attempt_id, running, restart_count_at_start
                ),
            )

    def _stream(
        self,
        sidecar: Sidecar,
        attempt_id: AttemptId,
        running: Running,
        reader_number: int,
        first: int,
    ) -> None:
        if running.reader_number != reader_number or not sidecar.up:
            return
        if sidecar.frozen_until <= self.now:
            texts = tuple(running.texts[first : first + 3])
            if texts:
                self._reply(sidecar, Tokens(attempt_id, first, texts))
                first += len(texts)
            elif running.ending is not None:
                self._reply(sidecar, running.ending)
                return
        self._schedule(
            self.now + TOKEN_INTERVAL_S / 2,
            lambda: self._stream(sidecar, attempt_id, running, reader_number, first),
        )

    def _reply(self, sidecar: Sidecar, message: Any) -> None:
        connection_count = sidecar.connection_count
        for delay in self._delays():
            self._schedule(
                self.now + delay,
                lambda: self._receive(sidecar, connection_count, message),
            )

    def _receive(self, sidecar: Sidecar, connection_count: int, message: Any) -> None:
        if sidecar.connection_count == connection_count:
            self._handle_event(event_from_frame(message))

    def _lose_link(self, sidecar: Sidecar) -> None:
        target = self.machine.target
        if target is not None and target.host == sidecar.host:
            self._handle_event(types.LinkLost(target.attempt_id))

    def _inject_cut(self, sidecar: Sidecar) -> None:
        sidecar.connection_count += 1
        self._lose_link(sidecar)

    def _inject_kill(self, sidecar: Sidecar) -> None:
        sidecar.up = False
        self._inject_cut(sidecar)
        self._schedule(
            self.now + self.rng.uniform(0.1, 3.0), lambda: self._restart(sidecar)
        )

    def _restart(self, sidecar: Sidecar) -> None:
        sidecar.restart_count += 1
        sidecar.up = True
        sidecar.leaving = False
        sidecar.ledger = AttemptLedger()
        sidecar.running_by_id = {}

    def _inject_freeze(self, sidecar: Sidecar) -> None:
        sidecar.frozen_until = self.now + self.rng.uniform(0.5, 30.0)
        # The router closes the link after an unanswered ping.
        self._schedule(
            self.now + 3.0,
            lambda: (
                self._inject_cut(sidecar) if sidecar.frozen_until > self.now else None
            ),
        )

    def _inject_endpoint(self, sidecar: Sidecar) -> None:
        sidecar.endpoint_restart_count += 1

    def _inject_leave(self, sidecar: Sidecar) -> None:
        sidecar.leaving = True
