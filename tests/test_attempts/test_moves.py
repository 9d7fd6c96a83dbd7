"""Tests of requests whose run moves to another endpoint."""

from __future__ import annotations

import itertools
import random
import unittest
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.attempts.budget import RetryBudget
from agatehoist.attempts.machine import RequestMachine
from agatehoist.attempts.types import (
    AttemptRefused,
    ContinueRun,
    Deliver,
    Ending,
    FindOffers,
    Finish,
    MayBeStopped,
    Offered,
    PiecesArrived,
    Refuse,
    RetryRules,
    RunMoved,
    StreamEnded,
    Submit,
)
from agatehoist.core.identity import AttemptId, EndpointIdentity
from agatehoist.core.work import Run
from agatehoist.placement.types import Candidate, Offer
from agatehoist.refusals.kinds import NotStarted, OutcomeUnknown

if TYPE_CHECKING:
    from agatehoist.attempts.types import Event
    from agatehoist.refusals.types import RequestRefusedError

NOT_RUN = NotStarted.refuse("other weights").refusal
MAY_HAVE_RUN = OutcomeUnknown.refuse("reset").refusal
FIRST, SECOND, THIRD = AttemptId("g", 1), AttemptId("g", 2), AttemptId("g", 3)
FAILED = AttemptRefused(FIRST, MAY_HAVE_RUN)
SECOND_NOT_RUN = AttemptRefused(SECOND, NOT_RUN)
SECOND_PIECE = PiecesArrived(SECOND, 2, ("z",))
SECOND_FAILED = AttemptRefused(SECOND, MAY_HAVE_RUN)


def offer(host: str) -> Offer:
    """Return an offer of a host."""
    return Offer(Candidate(host, "dc1"), EndpointIdentity(host, "e", "1"), 0, 0.0)


def machine_after_move(rules: RetryRules) -> RequestMachine:
    """Return a machine whose run was moved after its second piece."""
    numbers = itertools.count(1)
    machine = RequestMachine(
        rules,
        RetryBudget(),
        lambda: AttemptId("g", next(numbers)),
        random.Random(1),
    )
    machine.start(0.0)
    (submit,) = machine.handle(Offered((offer("a"), offer("b"))), 0.0)
    assert isinstance(submit, Submit)
    machine.handle(PiecesArrived(FIRST, 0, ("x", "y")), 0.1)
    (moved,) = machine.handle(RunMoved(FIRST, offer("c"), "a/7"), 0.2)
    assert moved == ContinueRun(moved.target, offer("c"), ("x", "y"), "a/7"), (
        "the run continues after the delivered pieces"
    )
    return machine


class DeliveredPieceTests(unittest.TestCase):
    # Whether the pieces are kept, and what is left of them after three reports.
    @parameterized.expand(
        [("kept", True, ["v", "w", "x", "y", "z"]), ("dropped", False, ["z"])]
    )
    def test_pieces_that_are_not_needed_again_are_not_kept(
        self, _name: str, keeps_pieces: bool, left: list[str]
    ) -> None:
        """A stream without end would fill the memory of the process."""
        rules = RetryRules(True, 9.0, keeps_pieces=keeps_pieces)
        machine = RequestMachine(rules, RetryBudget(), lambda: FIRST, random.Random(1))
        machine.start(0.0)
        machine.handle(Offered((offer("a"),)), 0.0)
        delivered: list[str] = []
        for first, pieces in ((0, ("v", "w")), (2, ("x",)), (3, ("y", "z"))):
            (deliver,) = machine.handle(PiecesArrived(FIRST, first, pieces), 0.1)
            assert isinstance(deliver, Deliver)
            delivered += deliver.pieces
        self.assertEqual(delivered, ["v", "w", "x", "y", "z"])
        self.assertEqual(len(machine.pieces), 5)
        self.assertEqual([each for each in machine.pieces if each], left)


class MovedRunTests(unittest.TestCase):
    @parameterized.expand([(False,), (True,)])
    def test_answer_continues_after_the_move(self, idempotent: bool) -> None:
        machine = machine_after_move(RetryRules(idempotent, 9.0, max_runs=1))
        (late,) = machine.handle(PiecesArrived(FIRST, 2, ("z",)), 0.3)
        self.assertNotIsInstance(late, Deliver)
        self.assertEqual(
            machine.handle(PiecesArrived(SECOND, 2, ("z",)), 0.4),
            (Deliver(2, ("z",)),),
        )
        self.assertEqual(
            machine.handle(StreamEnded(SECOND, Ending(3)), 0.5), (Finish(Ending(3)),)
        )

    @parameterized.expand(
        [
            # "lost": it is unknown whether the run that continued after the move ended.
            ("rejected", NotStarted.refuse("other weights"), False, 2, Refuse),
            ("lost", OutcomeUnknown.refuse("reset"), False, 2, Refuse),
            (
                "rejected_resumable",
                NotStarted.refuse("other weights"),
                True,
                2,
                FindOffers,
            ),
            ("lost_resumable", OutcomeUnknown.refuse("reset"), True, 2, FindOffers),
            ("rejected_last_run", NotStarted.refuse("other weights"), True, 1, Refuse),
        ]
    )
    def test_run_before_the_move_counts_as_a_run(
        self,
        _name: str,
        error: RequestRefusedError,
        idempotent: bool,
        max_runs: int,
        expected: type,
    ) -> None:
        machine = machine_after_move(RetryRules(idempotent, 9.0, max_runs=max_runs))
        decisions = machine.handle(AttemptRefused(SECOND, error.refusal), 0.3)
        self.assertIsInstance(decisions[-1], expected)
        if isinstance(decisions[-1], Refuse):
            self.assertIsNot(decisions[-1].refusal.run, Run.NO)
            return
        # The offers found before the move are too old, so new ones are asked for.
        (submit,) = machine.handle(Offered((offer("d"),)), 0.3)
        assert isinstance(submit, Submit)
        self.assertEqual((submit.offer, submit.pieces), (offer("d"), ("x", "y")))


class FallbackTests(unittest.TestCase):
    # What the destination does, whether the run goes on at its source, and how many of
    # the two retries that were taken for the move are left at the end.
    @parameterized.expand(
        [
            ("refuses", AttemptRefused(SECOND, NOT_RUN), True, 0),
            ("breaks_off", AttemptRefused(SECOND, MAY_HAVE_RUN), False, 1),
            ("goes_on", PiecesArrived(SECOND, 2, ("z",)), False, 1),
            ("ends", StreamEnded(SECOND, Ending(2)), False, 1),
        ]
    )
    def test_stopped_run_goes_on_at_its_source_without_another_retry(
        self, _name: str, event: Event, goes_on_at_source: bool, left: int
    ) -> None:
        """A run that was stopped for a move must not be lost for want of a retry."""
        budget = RetryBudget(max_saved_retries=2)
        numbers = itertools.count(1)
        machine = RequestMachine(
            RetryRules(False, 9.0, max_runs=1),
            budget,
            lambda: AttemptId("g", next(numbers)),
            random.Random(1),
        )
        machine.start(0.0)
        machine.handle(Offered((offer("a"),)), 0.0)
        machine.handle(PiecesArrived(FIRST, 0, ("x", "y")), 0.1)
        self.assertTrue(budget.try_spend() and budget.try_spend())
        machine.handle(RunMoved(FIRST, offer("c"), "a/7", offer("a")), 0.2)
        decisions = machine.handle(event, 0.3)
        goes_on = [each for each in decisions if isinstance(each, ContinueRun)]
        self.assertEqual(len(goes_on), int(goes_on_at_source))
        self.assertEqual(sum(budget.try_spend() for _ in range(3)), left)


class MayBeStoppedTests(unittest.TestCase):
    # Whether the route allows retries, the events after the order to stop, whether a
    # retry is left, and whether the run goes on at the endpoint that has it in memory.
    @parameterized.expand(
        [
            ("no_retry_allowed", False, (FAILED,), True, True),
            ("budget_used_up", False, (FAILED,), False, False),
            ("a_retry_comes_first", True, (FAILED,), True, False),
            ("retry_not_run", True, (FAILED, SECOND_NOT_RUN), True, True),
            ("other_pieces", True, (FAILED, SECOND_PIECE, SECOND_FAILED), True, False),
        ]
    )
    def test_run_in_memory_is_the_last_resort(
        self,
        _name: str,
        idempotent: bool,
        events: tuple[Event, ...],
        has_retry: bool,
        goes_on: bool,
    ) -> None:
        """A stream that can go on must not be broken off."""
        numbers = itertools.count(1)
        budget = RetryBudget(max_saved_retries=2.0 if has_retry else 0.0)
        rules = RetryRules(idempotent, 9.0, max_dispatches=2)
        machine = RequestMachine(
            rules, budget, lambda: AttemptId("g", next(numbers)), random.Random(1)
        )
        machine.start(0.0)
        machine.handle(Offered((offer("a"), offer("b"))), 0.0)
        machine.handle(PiecesArrived(FIRST, 0, ("x", "y")), 0.1)
        machine.handle(MayBeStopped(FIRST, offer("a"), "a/7"), 0.1)
        for event in events:
            decisions = machine.handle(event, 0.15)
        continued = [each for each in decisions if isinstance(each, ContinueRun)]
        self.assertEqual([each.run_name for each in continued], ["a/7"] * goes_on)


class OfferTests(unittest.TestCase):
    @parameterized.expand([("fresh", 0.1, False), ("old", 0.3, True)])
    def test_old_offers_are_replaced_by_new_ones(
        self, _name: str, failed_at: float, searches_again: bool
    ) -> None:
        machine = RequestMachine(
            RetryRules(True, 9.0), RetryBudget(), lambda: FIRST, random.Random(1)
        )
        machine.start(0.0)
        machine.handle(Offered((offer("a"), offer("b"))), 0.0)
        lost = OutcomeUnknown.refuse("reset").refusal
        (decision,) = machine.handle(AttemptRefused(FIRST, lost), failed_at)
        if not searches_again:
            assert isinstance(decision, Submit)
            self.assertEqual(decision.offer, offer("b"))
            return
        self.assertEqual(decision, FindOffers(failed_at))
        (decision,) = machine.handle(Offered((offer("c"),)), failed_at)
        assert isinstance(decision, Submit)
        self.assertEqual(decision.offer, offer("c"))
