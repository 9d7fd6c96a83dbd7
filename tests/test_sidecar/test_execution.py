"""Tests of the flow control between the endpoint and the readers of an answer."""

from __future__ import annotations

import unittest

import anyio

from agatehoist.protocol.flow_control import WINDOW_TOKENS, next_window
from agatehoist.sidecar.execution import MAX_UNSENT_TOKENS, Execution

TOKENS = 1500
SESSION = "session"


class ExecutionTests(unittest.TestCase):
    def test_unsent_tokens_stay_within_window_and_buffer(self) -> None:
        anyio.run(self._check_slow_reader)

    async def _check_slow_reader(self) -> None:
        execution = Execution(60.0)
        sent = 0

        async def produce() -> None:
            for _ in range(TOKENS):
                execution.append(("x",))
                await execution.wait_for_buffer_space()

        async def send() -> None:
            nonlocal sent
            reader = execution.attach(SESSION, 0)
            while sent < TOKENS:
                sent = await execution.wait_sendable(reader, sent)

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(send)
            await anyio.wait_all_tasks_blocked()
            task_group.start_soon(produce)
            consumed, until = 0, WINDOW_TOKENS
            while consumed < TOKENS:
                await anyio.wait_all_tasks_blocked()
                self.assertLessEqual(sent - consumed, WINDOW_TOKENS)
                self.assertLessEqual(len(execution.texts) - sent, MAX_UNSENT_TOKENS)
                consumed = sent
                until = next_window(consumed, until)
                execution.extend_window(SESSION, until)
        self.assertEqual(len(execution.texts), TOKENS)

    def test_attempt_without_a_reader_is_abandoned_after_the_timeout(self) -> None:
        anyio.run(self._check_abandoned)

    async def _check_abandoned(self) -> None:
        execution = Execution(60.0)
        reader = execution.attach(SESSION, 0)
        self.assertFalse(execution.is_abandoned(1000.0))
        execution.detach(SESSION, reader, abandon_at=15.0)
        self.assertFalse(execution.is_abandoned(14.0))
        self.assertTrue(execution.is_abandoned(16.0))
