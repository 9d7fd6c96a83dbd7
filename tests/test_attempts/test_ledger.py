"""Tests of the attempt ledger of a sidecar."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.attempts.ledger import (
    RETENTION_AFTER_DEADLINE_S,
    AttemptLedger,
    Ignore,
    Reject,
    SendAnswer,
    Start,
)
from agatehoist.core.identity import AttemptId, EndpointIdentity
from agatehoist.core.work import Priority, Run
from agatehoist.protocol.messages import Assignment, Resume

IDENTITY = EndpointIdentity("s1", "e1", "1")
OTHER_ENGINE = EndpointIdentity("s1", "e2", "1")
OTHER_WEIGHTS = EndpointIdentity("s1", "e1", "2")
OTHER_SIDECAR = EndpointIdentity("s2", "e1", "1")
ATTEMPT = AttemptId("r", 1)
SUBMIT = Assignment(ATTEMPT, "archive", IDENTITY, Priority.SHORT, 10.0)
RESUME = Resume(ATTEMPT, 0, "archive", 10.0)
RETAINED_UNTIL = 10.0 + RETENTION_AFTER_DEADLINE_S

REFUSED = [
    ("leaving", IDENTITY, False, 1.0, "leaving"),
    ("other_engine", OTHER_ENGINE, True, 1.0, "stale_placement"),
    ("other_weights", OTHER_WEIGHTS, True, 1.0, "stale_placement"),
    ("other_sidecar", OTHER_SIDECAR, True, 1.0, "stale_placement"),
    ("too_late", IDENTITY, True, 10.0, "deadline_exceeded"),
]

UNKNOWN_RESUMES = [
    ("before_the_deadline", 9.0, Run.NO),
    ("within_the_retention", RETAINED_UNTIL - 0.1, Run.NO),
    ("after_the_retention", RETAINED_UNTIL, Run.UNKNOWN),
]


class LedgerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = AttemptLedger()

    @parameterized.expand(REFUSED)
    def test_submit_is_refused_before_the_start(
        self,
        _name: str,
        identity: EndpointIdentity,
        ready: bool,
        now: float,
        code: str,
    ) -> None:
        decision = self.ledger.on_submit(SUBMIT, identity, ready, now)
        assert isinstance(decision, Reject)
        self.assertEqual((decision.refusal.code, decision.refusal.run), (code, Run.NO))

    @parameterized.expand(REFUSED)
    def test_repeated_submit_is_ignored_whatever_has_changed(
        self,
        _name: str,
        identity: EndpointIdentity,
        ready: bool,
        now: float,
        _code: str,
    ) -> None:
        self.assertEqual(self.ledger.on_submit(SUBMIT, IDENTITY, True, 0.0), Start())
        repeated = self.ledger.on_submit(SUBMIT, identity, ready, now)
        self.assertEqual(repeated, Ignore())

    @parameterized.expand(UNKNOWN_RESUMES)
    def test_resume_of_an_unknown_attempt_prevents_its_start(
        self, _name: str, now: float, run: Run
    ) -> None:
        resumed = self.ledger.on_resume(RESUME, now)
        assert isinstance(resumed, Reject)
        self.assertIs(resumed.refusal.run, run)
        late = self.ledger.on_submit(SUBMIT, IDENTITY, True, now)
        self.assertIsInstance(late, Reject)

    def test_entries_are_kept_for_the_retention_time(self) -> None:
        self.ledger.on_submit(SUBMIT, IDENTITY, True, 0.0)
        self.ledger.sweep(RETAINED_UNTIL)
        self.assertEqual(self.ledger.on_resume(RESUME, RETAINED_UNTIL), SendAnswer())
        self.ledger.sweep(RETAINED_UNTIL + 0.1)
        resumed = self.ledger.on_resume(RESUME, RETAINED_UNTIL + 0.1)
        assert isinstance(resumed, Reject)
        self.assertIs(resumed.refusal.run, Run.UNKNOWN)

    def test_other_organisation_cannot_resume_an_answer(self) -> None:
        self.ledger.on_submit(SUBMIT, IDENTITY, True, 0.0)
        resume = replace(RESUME, organisation="cooperative")
        resumed = self.ledger.on_resume(resume, 1.0)
        assert isinstance(resumed, Reject)
        self.assertIs(resumed.refusal.run, Run.UNKNOWN)
