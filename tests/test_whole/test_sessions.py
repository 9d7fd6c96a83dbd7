"""Tests that whole sessions have their stated outcomes."""

from __future__ import annotations

import json

from parameterized import parameterized

from tests.test_whole.sessions import golden_file, play, read_session
from tests.test_whole.support import FleetTestCase


class SessionTests(FleetTestCase):
    @parameterized.expand([("archive",), ("cooperative",)])
    def test_session(self, name: str) -> None:
        session = read_session(name)
        outcomes = play(self.client(key=session["organisation_key"]), session)
        expected = json.loads(golden_file(name).read_text(encoding="utf-8"))
        for outcome, stated in zip(outcomes, expected, strict=True):
            self.assertEqual(outcome, stated, outcome["name"])
