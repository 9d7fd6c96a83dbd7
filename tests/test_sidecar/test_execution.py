"""Tests of the flow of an answer from endpoint to reader."""

from __future__ import annotations

import unittest

import anyio

from agatehoist.protocol.flow_control import WINDOW_TOKENS, next_window
from agatehoist.sidecar.execution import MAX_AHEAD_TOKENS, Execution

TOKENS = 1500
SESSION = "session"


class ExecutionTests(unittest.TestCase):
    def test_slow_reader_holds_the_endpoint_back(self) -> None:
        anyio.run(self._check_slow_reader)

    async def _check_slow_reader(self) -> None:
        execution = Execution(60.0)
        sent = 0

        async def produce() -> None:
            for _ in range(TOKENS):
                execution.append(("x",))
                await execution.wait_room()

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
                self.assertLessEqual(len(execution.texts) - sent, MAX_AHEAD_TOKENS)
                consumed = sent
                until = next_window(consumed, until)
                execution.open_window(SESSION, until)
        self.assertEqual(len(execution.texts), TOKENS)

    def test_work_without_a_reader_is_abandoned_in_time(self) -> None:
        anyio.run(self._check_abandoned)

    async def _check_abandoned(self) -> None:
        execution = Execution(60.0)
        reader = execution.attach(SESSION, 0)
        self.assertFalse(execution.is_abandoned(1000.0))
        execution.detach(SESSION, reader, orphaned_until=15.0)
        self.assertFalse(execution.is_abandoned(14.0))
        self.assertTrue(execution.is_abandoned(16.0))
