"""Tests that a change of the endpoint status clears the cache index."""

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
    def test_status_change_clears_the_cache_index(
        self, _name: str, status: EndpointStatus, matched_tokens: int
    ) -> None:
        endpoint = EndpointSettings("engine", "", "songs-8b")
        settings = Mock(inner_keys=(), endpoint=endpoint)
        state = SidecarState(settings, Mock(), ManualClock(), Mock())
        state.set_status(FIRST)
        state.cache_index.expect(ATTEMPT, LEVELS)
        state.cache_index.record(ATTEMPT, PromptReport(64, 0))
        state.set_status(status)
        self.assertEqual(state.cache_index.matched_tokens(LEVELS), matched_tokens)
        # The return of the first status brings no cleared entry back.
        state.set_status(FIRST)
        self.assertEqual(state.cache_index.matched_tokens(LEVELS), matched_tokens)
