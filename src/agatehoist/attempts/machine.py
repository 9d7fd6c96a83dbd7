"""State machine of one request across all its attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from agatehoist.attempts.budget import next_retry_at
from agatehoist.attempts.types import (
    AnswerEvent,
    AttemptRefused,
    CallerDisconnected,
    CancelAttempt,
    ContinueRun,
    DeadlinePassed,
    Decision,
    Deliver,
    Drop,
    Ending,
    EndpointSilent,
    Event,
    EventFault,
    FindOffers,
    FindReplacement,
    Finish,
    LinkLost,
    MayBeStopped,
    NotAdmitted,
    NotWritten,
    Offered,
    PiecesArrived,
    ProcessStopping,
    Refuse,
    ReplacementsOffered,
    ReplyArrived,
    ResumeAnswer,
    ResumeFailed,
    RetryRules,
    RunMoved,
    StreamEnded,
    Submit,
    Target,
    WaitOn,
    Written,
)
from agatehoist.core.registry import Registry
from agatehoist.core.work import Run
from agatehoist.refusals.kinds import (
    FINAL_CODES,
    AnswerTimeout,
    BrokenStream,
    DeadlineExceeded,
    Leaving,
    NoEndpoint,
    OutcomeUnknown,
    RetriesExhausted,
)
from agatehoist.refusals.types import Refusal

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from agatehoist.attempts.budget import Budget
    from agatehoist.core.identity import AttemptId
    from agatehoist.placement.types import Offer

    Decisions = tuple[Decision, ...]

MAX_RESUMES = 2
MAX_RESUMES_NON_IDEMPOTENT = 10
# Sent to the caller if the last refusal has no retry time of its own.
CALLER_RETRY_DELAY_S = 1.0
# The endpoint of an older offer may have begun to drain or to load other weights. All
# nodes know of it after this time, so a new search for offers takes it into account.
OFFER_VALID_S = 0.2

# Stands for a delivered piece whose content isn't needed any more.
DELIVERED_PIECE = ""

EVENT_HANDLERS: Registry[Callable[..., Any]] = Registry("attempt event")


class RequestMachine:
    """Turn each event of one request into the decisions that follow."""

    def __init__(
        self,
        rules: RetryRules,
        budget: Budget,
        next_id: Callable[[], AttemptId],
        rng: random.Random,
    ) -> None:
        self.rules = rules
        self.pieces: list[Any] = []
        self.target: Target | None = None
        # The attempt that `target` replaces, while it goes on.
        self.silent_target: Target | None = None
        # Whether `target` has been silent since the search for its replacement began.
        self._is_replacing = False
        self.ended = False
        self._budget = budget
        self._next_id = next_id
        self._rng = rng
        self._offers: list[Offer] = []
        self._offered_at = 0.0
        self._may_have_run: set[AttemptId] = set()
        # The move after which the current attempt continues a run, if there is one.
        self._move: RunMoved | None = None
        # The run that brought the last piece, if its endpoint may have it in memory.
        self._last_resort: MayBeStopped | None = None
        self._dispatch_count = 0
        self._search_count = 0
        self._resumes = 0
        self._resuming = False
        self._gap_while_resuming = False
        self._refusal: Refusal | None = None

    def start(self, now: float) -> Decisions:
        """Begin by searching for offers."""
        self._budget.note_request()
        self._search_count = 1
        return (FindOffers(now),)

    def resume_attempt(self, target: Target, first: int, now: float) -> Decisions:
        """Begin by resuming the answer of an attempt that another router submitted.

        `first` is the index of the first piece to read.
        """
        # The other router has delivered these.
        self.pieces = [DELIVERED_PIECE] * first
        self.target = target
        self._dispatch_count = 1
        self._may_have_run.add(target.attempt_id)
        self._resuming = True
        return (ResumeAnswer(target, first, now),)

    def handle(self, event: Event, now: float) -> Decisions:
        """Process an event at an epoch time and return the decisions."""
        if isinstance(event, AnswerEvent):
            if self.ended or not self._is_running(event.attempt_id):
                return (Drop(EventFault.LATE),)
        elif self.ended:
            return ()
        decisions: Decisions = EVENT_HANDLERS[type(event)](self, event, now)
        return decisions

    def running(self) -> tuple[Target, ...]:
        """Return the attempts that may still answer, a silent one first."""
        both = (self.silent_target, self.target)
        return tuple(each for each in both if each is not None)

    @EVENT_HANDLERS.register(Offered)
    def _on_offers(self, event: Offered, now: float) -> Decisions:
        self._offers = list(event.offers)
        self._offered_at = now
        return self._dispatch(now)

    @EVENT_HANDLERS.register(NotAdmitted)
    def _on_not_admitted(self, event: NotAdmitted, now: float) -> Decisions:
        if event.refusal.code == NoEndpoint.code:
            return self._continue_or_refuse(event.refusal, now)
        return self._refuse(event.refusal, now)

    @EVENT_HANDLERS.register(NotWritten)
    def _on_not_written(self, event: NotWritten, now: float) -> Decisions:
        if not self._is_running(event.attempt_id):
            return ()
        self._may_have_run.discard(event.attempt_id)
        refusal = NoEndpoint.refuse(event.detail).refusal
        return self._retry_or_end(event.attempt_id, refusal, now)

    @EVENT_HANDLERS.register(Written)
    def _on_written(self, event: Written, _now: float) -> Decisions:
        if self.rules.overlapping or not self._is_current(event.attempt_id):
            return ()
        return self._cancel_others(event.attempt_id)

    @EVENT_HANDLERS.register(EndpointSilent)
    def _on_silent(self, event: EndpointSilent, _now: float) -> Decisions:
        # A replacement that is silent too isn't replaced while both go on.
        if not self._is_current(event.attempt_id) or self.silent_target is not None:
            return ()
        assert self.target is not None
        if not self.may_retry:
            return (WaitOn(self.target, "may not run again"),)
        if self._has_all_tokens():
            return (WaitOn(self.target, "only the end is missing"),)
        if not self._budget.has_retry():
            return (WaitOn(self.target, "no retry left"),)
        self._is_replacing = True
        return (FindReplacement(self.target),)

    @EVENT_HANDLERS.register(ReplacementsOffered)
    def _on_replacements(self, event: ReplacementsOffered, now: float) -> Decisions:
        if not self._is_current(event.attempt_id) or not self._is_replacing:
            return ()
        self._is_replacing = False
        if now >= self.rules.deadline:
            return ()
        assert self.target is not None
        if not event.offers:
            return (WaitOn(self.target, "no other endpoint"),)
        if not self._budget.try_spend():
            return (WaitOn(self.target, "no retry left"),)
        self.silent_target = self.target
        return (self._submit(event.offers[0], replaced=self.silent_target),)

    @EVENT_HANDLERS.register(LinkLost)
    def _on_link_lost(self, event: LinkLost, now: float) -> Decisions:
        if not self._is_current(event.attempt_id):
            return ()
        return self._resume(now)

    @EVENT_HANDLERS.register(ResumeFailed)
    def _on_resume_failed(self, event: ResumeFailed, now: float) -> Decisions:
        if not self._is_current(event.attempt_id):
            return ()
        if event.restarted:
            unknown = OutcomeUnknown.refuse("the sidecar restarted during the attempt")
            return self._retry_or_end(event.attempt_id, unknown.refusal, now)
        return self._resume(now)

    @EVENT_HANDLERS.register(RunMoved)
    def _on_run_moved(self, event: RunMoved, _now: float) -> Decisions:
        if not self._is_current(event.attempt_id):
            return ()
        # A moved run counts as one run that has started, whatever happens to the next
        # attempt: _may_have_run keeps the id of the attempt before the move and doesn't
        # get the id of the attempt that continues the run.
        cancelled = self._cancel_others(event.attempt_id)
        self._last_resort = None
        return (*cancelled, self._continue_run(event))

    @EVENT_HANDLERS.register(MayBeStopped)
    def _on_may_be_stopped(self, event: MayBeStopped, _now: float) -> Decisions:
        if self._is_current(event.attempt_id):
            self._last_resort = event
        return ()

    def _continue_or_refuse(self, refusal: Refusal, now: float) -> Decisions:
        """Continue a run that may have been stopped, as nothing else is left."""
        run, self._last_resort = self._last_resort, None
        if run is None or now >= self.rules.deadline or not self._budget.try_spend():
            return self._refuse(refusal, now)
        return (self._continue_run(RunMoved(run.attempt_id, run.offer, run.run_name)),)

    def _note_source_of_pieces(self, attempt_id: AttemptId) -> None:
        if self._move is not None and self._move.attempt_id == attempt_id:
            self._end_move()
        if self._last_resort is not None and self._last_resort.attempt_id != attempt_id:
            # The run in memory lacks these pieces.
            self._last_resort = None

    def _continue_run(self, move: RunMoved) -> ContinueRun:
        self.target = self._next_target(move.offer)
        self._move = replace(move, attempt_id=self.target.attempt_id)
        pieces = tuple(self.pieces)
        return ContinueRun(self.target, move.offer, pieces, move.run_name)

    def _continue_at_source(
        self, attempt_id: AttemptId, refusal: Refusal
    ) -> ContinueRun | None:
        """Continue a run where it was stopped, if its new endpoint didn't run it."""
        move = self._move
        if move is None or move.attempt_id != attempt_id or move.fallback is None:
            return None
        if refusal.run is not Run.NO:
            self._end_move()
            return None
        return self._continue_run(replace(move, offer=move.fallback, fallback=None))

    def _end_move(self) -> None:
        """Give back the retry for the fallback of a move that doesn't need it."""
        move, self._move = self._move, None
        if move is not None and move.fallback is not None:
            self._budget.give_back(move.retries_taken_at)

    @EVENT_HANDLERS.register(DeadlinePassed)
    def _on_deadline_passed(self, _event: DeadlinePassed, now: float) -> Decisions:
        kind = AnswerTimeout if self._may_have_run else DeadlineExceeded
        refusal = kind.refuse("the deadline passed").refusal
        return (*self._cancel_running(), *self._refuse(refusal, now))

    @EVENT_HANDLERS.register(CallerDisconnected)
    def _on_caller_disconnected(
        self, _event: CallerDisconnected, _now: float
    ) -> Decisions:
        self.ended = True
        return self._cancel_running()

    @EVENT_HANDLERS.register(ProcessStopping)
    def _on_process_stopping(self, _event: ProcessStopping, now: float) -> Decisions:
        refusal = Leaving.refuse("the process stops").refusal
        return (*self._cancel_running(), *self._refuse(refusal, now))

    @EVENT_HANDLERS.register(PiecesArrived)
    def _on_pieces(self, event: PiecesArrived, now: float) -> Decisions:
        received = len(self.pieces)
        if event.first > received:
            return (Drop(EventFault.GAP), *self._resume_after_gap(now))
        new = event.pieces[received - event.first :]
        if not new:
            return (Drop(EventFault.REPEATED),)
        is_silent = not self._is_current(event.attempt_id)
        if is_silent and not event.goes_on and self.target is not None:
            # The replacement counts its pieces from those that had arrived before.
            cancelled = self._cancel_others(self.target.attempt_id)
            return (Drop(EventFault.LATE), *cancelled)
        if event.goes_on:
            self._is_replacing = False
        self._note_source_of_pieces(event.attempt_id)
        self.pieces.extend(new)
        if not self.rules.keeps_pieces:
            delivered = len(self.pieces) - 1 - max(0, received - 1)
            self.pieces[max(0, received - 1) : -1] = [DELIVERED_PIECE] * delivered
        self._resumes = 0
        self._resuming = False
        cancelled = self._cancel_others(event.attempt_id)
        again = self._resume(now) if self._gap_while_resuming else ()
        return (*cancelled, Deliver(received, tuple(new)), *again)

    @EVENT_HANDLERS.register(StreamEnded)
    def _on_end(self, event: StreamEnded, now: float) -> Decisions:
        if event.ending.piece_count > len(self.pieces):
            return (Drop(EventFault.GAP), *self._resume_after_gap(now))
        if event.ending.piece_count < len(self.pieces):
            broken = BrokenStream.refuse("the end counts fewer pieces than arrived")
            cancelled = self._cancel_others(event.attempt_id)
            refused = self._refuse(broken.refusal, now)
            return (Drop(EventFault.MALFORMED), *cancelled, *refused)
        self.ended = True
        self._end_move()
        return (*self._cancel_others(event.attempt_id), Finish(event.ending))

    @EVENT_HANDLERS.register(ReplyArrived)
    def _on_reply(self, event: ReplyArrived, _now: float) -> Decisions:
        self.ended = True
        return (*self._cancel_others(event.attempt_id), Finish(event.reply))

    @EVENT_HANDLERS.register(AttemptRefused)
    def _on_refused(self, event: AttemptRefused, now: float) -> Decisions:
        refusal = event.refusal
        if refusal.run is Run.NO:
            self._may_have_run.discard(event.attempt_id)
        if refusal.code in FINAL_CODES:
            cancelled = self._cancel_others(event.attempt_id)
            return (*cancelled, *self._refuse(refusal, now))
        return self._retry_or_end(event.attempt_id, refusal, now)

    def _is_current(self, attempt_id: AttemptId) -> bool:
        return self.target is not None and self.target.attempt_id == attempt_id

    def _is_running(self, attempt_id: AttemptId) -> bool:
        return any(each.attempt_id == attempt_id for each in self.running())

    def _cancel_others(self, attempt_id: AttemptId) -> Decisions:
        """Leave one of the running attempts and cancel the other, if there is one."""
        running = self.running()
        self.silent_target = None
        for each in running:
            if each.attempt_id == attempt_id:
                self.target = each
        return tuple(CancelAttempt(e) for e in running if e.attempt_id != attempt_id)

    def _dispatch(self, now: float) -> Decisions:
        if now >= self.rules.deadline:
            return self._on_deadline_passed(DeadlinePassed(), now)
        if not self._offers:
            return self._search_again(now)
        if now > self._offered_at + OFFER_VALID_S:
            self._offers = []
            return (FindOffers(now),)
        if self._dispatch_count and not self._budget.try_spend():
            return self._refuse_retries_exhausted(now)
        return (self._submit(self._offers.pop(0)),)

    def _submit(self, offer: Offer, replaced: Target | None = None) -> Submit:
        target = self.target = self._next_target(offer)
        self._is_replacing = False
        self._dispatch_count += 1
        self._resumes = 0
        self._resuming = False
        self._gap_while_resuming = False
        self._may_have_run.add(target.attempt_id)
        return Submit(target, offer, tuple(self.pieces), replaced)

    def _next_target(self, offer: Offer) -> Target:
        return Target(
            self._next_id(), offer.candidate.host, offer.identity.sidecar_incarnation
        )

    def _search_again(self, now: float) -> Decisions:
        if self._search_count >= self.rules.max_offer_searches:
            return self._continue_or_refuse(self._last_refusal(), now)
        self._search_count += 1
        return (FindOffers(next_retry_at(now, self._search_count, self._rng)),)

    def _retry_or_end(
        self, attempt_id: AttemptId, refusal: Refusal, now: float
    ) -> Decisions:
        remaining = [e for e in self.running() if e.attempt_id != attempt_id]
        self.target = remaining[0] if remaining else None
        self.silent_target = None
        self._refusal = refusal
        if self.target is not None:
            return ()
        if (continued := self._continue_at_source(attempt_id, refusal)) is not None:
            return (continued,)
        if not self.may_retry:
            return self._continue_or_refuse(refusal, now)
        if self._has_all_tokens():
            return self._finish_at_max_tokens()
        return self._dispatch(now)

    def _has_all_tokens(self) -> bool:
        return 0 < self.rules.max_tokens <= len(self.pieces)

    @property
    def may_retry(self) -> bool:
        """Return whether another attempt could follow the current one."""
        if self._may_have_run and not self.rules.idempotent:
            return False
        if self._dispatch_count == self.rules.max_dispatches:
            return False
        return not self._run_limit_reached()

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return bool(self._may_have_run)

    @property
    def is_cancellable(self) -> bool:
        """Return whether an attempt may be cancelled without an outcome."""
        return self.rules.idempotent or self.rules.cancellable

    def _run_limit_reached(self) -> bool:
        limit = self.rules.max_runs
        return limit is not None and len(self._may_have_run) >= limit

    def _finish_at_max_tokens(self) -> Decisions:
        self.ended = True
        return (Finish(Ending(len(self.pieces), "length", self.rules.prompt_tokens)),)

    def _resume_after_gap(self, now: float) -> Decisions:
        if not self._resuming:
            return self._resume(now)
        # The dropped pieces may belong to the answer before the resume, which sends
        # them again, or to the resumed answer, which doesn't. So the answer is resumed
        # once more after the next pieces arrive.
        self._gap_while_resuming = True
        return ()

    def _resume(self, now: float) -> Decisions:
        assert self.target is not None
        self._resumes += 1
        # A non-idempotent request can't run again, so more resumes are made for its
        # outcome.
        limit = MAX_RESUMES if self.rules.idempotent else MAX_RESUMES_NON_IDEMPOTENT
        if self._resumes > limit:
            cancel_decisions = self._cancel_running()
            unknown = OutcomeUnknown.refuse("the sidecar can no longer be reached")
            ended = self._retry_or_end(self.target.attempt_id, unknown.refusal, now)
            return (*cancel_decisions, *ended)
        self._resuming = True
        self._gap_while_resuming = False
        at = next_retry_at(now, self._resumes, self._rng)
        return (ResumeAnswer(self.target, len(self.pieces), at),)

    def _cancel_running(self) -> Decisions:
        # A call that is neither idempotent nor cancellable runs to its end, so that its
        # outcome is known.
        if not self.is_cancellable:
            return ()
        return tuple(CancelAttempt(each) for each in self.running())

    def _last_refusal(self) -> Refusal:
        return (
            self._refusal
            or NoEndpoint.refuse("no endpoint accepted the request").refusal
        )

    def _refuse_retries_exhausted(self, now: float) -> Decisions:
        last = self._last_refusal()
        return self._refuse(RetriesExhausted.refuse(last.detail).refusal, now)

    def _refuse(self, refusal: Refusal, now: float) -> Decisions:
        self.ended = True
        return (Refuse(self._refusal_for_all_attempts(refusal, now)),)

    def _refusal_for_all_attempts(self, refusal: Refusal, now: float) -> Refusal:
        """Return the refusal with the `run` value that holds over all attempts."""
        if self.pieces:
            return BrokenStream.refuse(refusal.detail).refusal
        if not self._may_have_run:
            retry_at = refusal.retry_at or now + CALLER_RETRY_DELAY_S
            return Refusal(refusal.code, refusal.detail, Run.NO, retry_at)
        if refusal.run is Run.NO:
            return OutcomeUnknown.refuse(refusal.detail).refusal
        return refusal
