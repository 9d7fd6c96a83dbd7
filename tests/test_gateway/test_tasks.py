"""Tests of failing tasks, and of events after the end of a request."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import Mock

import anyio

from agatehoist.attempts.types import NotWritten
from agatehoist.core.identity import AttemptId
from agatehoist.gateway.attempt import Attempt
from agatehoist.gateway.request_loop import serve_requests
from agatehoist.gateway.tasks import run_logging_exceptions, run_with_restarts
from agatehoist.gateway.types import Dispatch
from agatehoist.http1.types import RequestHead
from standins.users_platform.harness import GatewayHarness, running_gateway
from standins.users_platform.loopback import listen_on_loopback, send_request

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Reply, Request


class TaskTests(unittest.TestCase):
    def test_exception_ends_only_its_task(self) -> None:
        async def fail() -> None:
            raise ValueError("fault")

        async def run() -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(run_logging_exceptions, fail)
                await anyio.sleep(0.01)

        anyio.run(run)

    def test_task_restarts_after_exception(self) -> None:
        runs: list[int] = []

        async def fail_once() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise ValueError("fault")
            await anyio.sleep_forever()

        async def run() -> None:
            with anyio.move_on_after(1.0):
                await run_with_restarts(fail_once)

        anyio.run(run)
        self.assertEqual(len(runs), 2)

    def test_answer_that_fails_is_replied_to_and_ends_no_process(self) -> None:
        answers: list[str] = []
        statuses: list[int] = []

        async def run() -> None:
            world = GatewayHarness()

            async def answer(_request: Request) -> Reply:
                answers.append("begun")
                raise OverflowError("fault")

            async def serve(channel: Channel) -> None:
                await serve_requests(world.state, channel, answer)

            head = RequestHead(b"GET", b"/", ((b"host", b"a"),))
            async with running_gateway(world), listen_on_loopback(serve) as port:
                for _ in range(2):
                    reply = await send_request(port, head, b"")
                    statuses.append(reply.head.status)

        anyio.run(run)
        self.assertEqual(len(answers), 2)
        self.assertEqual(statuses, [500, 500])

    def test_event_after_end_of_request_is_dropped(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                state = world.state
                (endpoint, *_) = state.fleet.by_name.values()
                assert state.table is not None
                (route, *_) = state.table.routes_by_host["a.example"]
                request = Mock(route=route, deadline=state.clock.now() + 1.0)
                request.envelope.body = b""
                sender, receiver = anyio.create_memory_object_stream[NotWritten](1)
                attempt = Attempt(
                    state,
                    request,
                    Mock(),
                    Dispatch(endpoint),
                    AttemptId("g", 1),
                    0,
                    sender,
                )
                sender.close()
                await attempt.send_event(NotWritten(AttemptId("g", 1), "late"))
                receiver.close()

        anyio.run(run)
