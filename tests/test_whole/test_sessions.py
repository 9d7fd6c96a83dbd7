"""Tests that replayed sessions have their recorded outcomes."""

from __future__ import annotations

import json

from parameterized import parameterized

from tests.test_whole.sessions import golden_file, read_session, replay_session
from tests.test_whole.support import FleetTestCase


class SessionTests(FleetTestCase):
    @parameterized.expand([("archive",), ("cooperative",)])
    def test_session_has_recorded_outcomes(self, name: str) -> None:
        session = read_session(name)
        outcomes = replay_session(self.client(key=session["organisation_key"]), session)
        expected = json.loads(golden_file(name).read_text(encoding="utf-8"))
        for outcome, expected_outcome in zip(outcomes, expected, strict=True):
            self.assertEqual(outcome, expected_outcome, outcome["name"])
