"""Tests of what a change of status does to the cache picture."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from parameterized import parameterized

from agatehoist.cache.types import PromptReport
from agatehoist.core.clock import ManualClock
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel
from agatehoist.endpoints.types import EndpointStatus
from agatehoist.settings.types import EndpointSettings
from agatehoist.sidecar.state import UNKNOWN_STATUS, SidecarState

LEVELS = (PrefixLevel(b"book", 64),)
ATTEMPT = AttemptId("router", 1)
FIRST = EndpointStatus("run-1", "1")

STATUSES = [
    ("same", FIRST, 64),
    ("new_run", EndpointStatus("run-2", "1"), 0),
    ("new_weights", EndpointStatus("run-1", "2"), 0),
    ("lost", UNKNOWN_STATUS, 0),
]


class StatusTests(unittest.TestCase):
    @parameterized.expand(STATUSES)
    def test_change_empties_the_picture(
        self, _name: str, status: EndpointStatus, matched_tokens: int
    ) -> None:
        endpoint = EndpointSettings("engine", "http://127.0.0.1:1", "songs-8b")
        settings = Mock(inner_keys=(), endpoint=endpoint)
        state = SidecarState(settings, Mock(), ManualClock(), Mock())
        state.take_status(FIRST)
        state.picture.expect(ATTEMPT, LEVELS)
        state.picture.record(ATTEMPT, PromptReport(64, 0))
        state.take_status(status)
        self.assertEqual(state.picture.matched_tokens(LEVELS), matched_tokens)
        state.take_status(FIRST)
        self.assertEqual(state.picture.matched_tokens(LEVELS), matched_tokens)
