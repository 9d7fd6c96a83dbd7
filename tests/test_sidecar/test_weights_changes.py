"""Tests of attempts whose engine changes between the decision and its execution."""

from __future__ import annotations

import itertools
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest.mock import Mock

import anyio
from parameterized import parameterized

from agatehoist.core.clock import ManualClock
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import CompletionWork, Priority, Run
from agatehoist.endpoints.engine import EngineClient
from agatehoist.endpoints.types import EndpointStatus, EngineEnd, EngineTokens
from agatehoist.placement.levels import salt_for
from agatehoist.protocol.messages import (
    Assignment,
    CompletionEnd,
    Refused,
    SubmitCompletion,
)
from agatehoist.settings.types import EndpointSettings
from agatehoist.sidecar.attempt_runner import run_completion
from agatehoist.sidecar.execution import Execution
from agatehoist.sidecar.state import UNKNOWN_STATUS, SidecarState
from tests.test_sidecar.test_cache_events import MODEL

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from agatehoist.sidecar.execution import FinalMessage

FIRST = EndpointStatus("run-1", "1")
NEW_WEIGHTS = EndpointStatus("run-1", "2")
NO_WEIGHTS = EndpointStatus("run-1", "")
NEW_RUN = EndpointStatus("run-2", "1")

# Case, the statuses that arrive while an attempt waits for its slot, and whether it may
# start then.
STATUSES_IN_THE_QUEUE = [
    ("same", [FIRST], True),
    ("new_weights", [NEW_WEIGHTS], False),
    ("no_weights", [NO_WEIGHTS], False),
    ("new_run", [NEW_RUN], False),
    ("new_weights_after_silence", [UNKNOWN_STATUS, NEW_WEIGHTS], False),
    # A late answer to a status request must not empty the whole queue.
    ("silence", [UNKNOWN_STATUS], True),
    ("same_after_silence", [UNKNOWN_STATUS, FIRST], True),
]

# Case, the statuses that arrive while an answer is generated, and whether it may end.
STATUSES_IN_THE_ANSWER = [
    ("same", [FIRST], True),
    ("new_weights", [NEW_WEIGHTS], False),
    ("no_weights", [NO_WEIGHTS], False),
    ("new_run", [NEW_RUN], False),
    ("new_weights_after_silence", [UNKNOWN_STATUS, NEW_WEIGHTS], False),
    ("there_and_back", [NEW_WEIGHTS, FIRST], False),
    ("silence", [UNKNOWN_STATUS], True),
    ("same_after_silence", [UNKNOWN_STATUS, FIRST], True),
]


class HeldEngine(EngineClient):
    """Send one token of each completion, and its end when released."""

    def __init__(self) -> None:
        super().__init__("http://127.0.0.1:1")
        self.salts: list[str] = []
        self.released = anyio.Event()

    async def complete(
        self,
        work: CompletionWork,
        cache_salt: str,
        priority: int,
        expected_status: EndpointStatus,
    ) -> AsyncIterator[EngineTokens | EngineEnd]:
        """Record the salt and yield the events."""
        self.salts.append(cache_salt)
        yield EngineTokens(("verse",))
        await self.released.wait()
        yield EngineEnd("stop", work.prompt_tokens, 0)


class Attempts:
    """Run attempts on a held engine through the state of its sidecar."""

    def __init__(self, state: SidecarState, engine: HeldEngine) -> None:
        self.state = state
        self.engine = engine
        self._numbers = itertools.count(1)

    async def start(self) -> Execution:
        """Start an attempt that is placed for the present status of the engine."""
        assignment = Assignment(
            AttemptId("router", next(self._numbers)),
            "archive",
            self.state.identity,
            Priority.SHORT,
            self.state.clock.now() + 60,
        )
        work = CompletionWork("/v1/completions", b"{}", 8, 4)
        execution = Execution(assignment.deadline)
        self.state.executions_by_id[assignment.attempt_id] = execution
        submit = SubmitCompletion(assignment, (), work)
        self.state.task_group.start_soon(run_completion, self.state, submit, execution)
        await anyio.wait_all_tasks_blocked()
        return execution

    async def end(self, execution: Execution) -> FinalMessage:
        """Release the engine and return the final message of an attempt."""
        self.engine.released.set()
        await anyio.wait_all_tasks_blocked()
        assert execution.final_message is not None
        return execution.final_message


@asynccontextmanager
async def attempts_on_one_slot() -> AsyncIterator[Attempts]:
    """Provide a sidecar whose engine has one slot and the first status."""
    engine = HeldEngine()
    endpoint = EndpointSettings("engine", "", MODEL, slots=1)
    async with anyio.create_task_group() as task_group:
        settings = Mock(inner_keys=(), endpoint=endpoint)
        state = SidecarState(settings, engine, ManualClock(), task_group)
        state.set_status(FIRST)
        yield Attempts(state, engine)
        task_group.cancel_scope.cancel()
    await engine.aclose()


class QueuedAttemptTests(unittest.TestCase):
    @parameterized.expand(STATUSES_IN_THE_QUEUE)
    def test_queued_attempt_does_not_start_on_another_engine_or_weights(
        self, _name: str, statuses: list[EndpointStatus], starts: bool
    ) -> None:
        async def run() -> None:
            async with attempts_on_one_slot() as attempts:
                await attempts.start()
                queued = await attempts.start()
                self.assertFalse(queued.started)
                for status in statuses:
                    attempts.state.set_status(status)
                final_message = await attempts.end(queued)
                salt = salt_for("archive", MODEL, "1").hex()
                self.assertEqual(attempts.engine.salts, [salt] * (1 + starts))
                if starts:
                    self.assertIsInstance(final_message, CompletionEnd)
                    return
                assert isinstance(final_message, Refused)
                refusal = final_message.refusal
                self.assertEqual(
                    (refusal.code, refusal.run), ("stale_placement", Run.NO)
                )

        anyio.run(run)


class RunningAttemptTests(unittest.TestCase):
    @parameterized.expand(STATUSES_IN_THE_ANSWER)
    def test_answer_does_not_go_on_with_cache_of_other_weights(
        self, _name: str, statuses: list[EndpointStatus], ends: bool
    ) -> None:
        async def run() -> None:
            async with attempts_on_one_slot() as attempts:
                running = await attempts.start()
                for status in statuses:
                    attempts.state.set_status(status)
                final_message = await attempts.end(running)
                if ends:
                    self.assertIsInstance(final_message, CompletionEnd)
                    return
                assert isinstance(final_message, Refused)
                refusal = final_message.refusal
                self.assertEqual(
                    (refusal.code, refusal.run), ("endpoint_failed", Run.UNKNOWN)
                )
                self.assertTrue(running.scope.cancelled_caught)

        anyio.run(run)
