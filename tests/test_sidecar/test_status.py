"""Tests of the endpoint status of a sidecar, whose change clears the cache index."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock

import anyio
from parameterized import parameterized

from agatehoist.cache.types import PromptReport
from agatehoist.core.clock import ManualClock
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel
from agatehoist.endpoints.errors import EndpointError, EndpointNotReachedError
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

SECOND = EndpointStatus("run-1", "2")
FAILED = EndpointNotReachedError("no answer")

# Case, the replies to two status requests in the order of the requests, the order in
# which they arrive, and the status after both.
REPLIES = [
    ("in_order", [FIRST, SECOND], [0, 1], SECOND),
    ("older_reply_last", [FIRST, SECOND], [1, 0], SECOND),
    ("older_failure_last", [FAILED, SECOND], [1, 0], SECOND),
    ("newer_failure_first", [FIRST, FAILED], [1, 0], UNKNOWN_STATUS),
]


def make_state(client: Any) -> SidecarState:
    """Return the state of a sidecar with a client of its engine."""
    endpoint = EndpointSettings("engine", "", "songs-8b")
    settings = Mock(inner_keys=(), endpoint=endpoint)
    return SidecarState(settings, client, ManualClock(), Mock())


class SlowEngine:
    """Reply to each status request when it is released."""

    def __init__(self, replies: list[EndpointStatus | EndpointError]) -> None:
        self._replies = iter(replies)
        self.released = [anyio.Event() for _ in replies]
        self._events = iter(self.released)

    async def status(self) -> EndpointStatus:
        """Return or raise the reply that belongs to this request."""
        reply = next(self._replies)
        await next(self._events).wait()
        if isinstance(reply, EndpointError):
            raise reply
        return reply


class StatusTests(unittest.TestCase):
    @parameterized.expand(STATUSES)
    def test_status_change_clears_the_cache_index(
        self, _name: str, status: EndpointStatus, matched_tokens: int
    ) -> None:
        state = make_state(Mock())
        state.set_status(FIRST)
        state.cache_index.expect(ATTEMPT, LEVELS)
        state.cache_index.record(ATTEMPT, PromptReport(64, 0))
        state.set_status(status)
        self.assertEqual(state.cache_index.matched_tokens(LEVELS), matched_tokens)
        # The return of the first status brings no cleared entry back.
        state.set_status(FIRST)
        self.assertEqual(state.cache_index.matched_tokens(LEVELS), matched_tokens)

    @parameterized.expand(REPLIES)
    def test_late_reply_does_not_bring_back_an_older_status(
        self,
        _name: str,
        replies: list[EndpointStatus | EndpointError],
        arrivals: list[int],
        expected: EndpointStatus,
    ) -> None:
        async def run() -> None:
            engine = SlowEngine(replies)
            state = make_state(engine)
            async with anyio.create_task_group() as task_group:
                for _ in replies:
                    task_group.start_soon(state.refresh_status)
                    await anyio.wait_all_tasks_blocked()
                for index in arrivals:
                    engine.released[index].set()
                    await anyio.wait_all_tasks_blocked()
            self.assertEqual(state.status, expected)

        anyio.run(run)
