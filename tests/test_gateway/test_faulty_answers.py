"""Tests of answers of faulty endpoints that must not reach callers as their own."""

from __future__ import annotations

import socket
import unittest
from contextlib import suppress

import anyio
from parameterized import parameterized

from agatehoist.http1.channel import connect
from agatehoist.http1.errors import ConnectionFailedError
from standins.raw_replies import INVALID_STATUSES
from standins.users_platform.harness import (
    APPLICATION,
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from standins.users_platform.loopback import HOST, listen_on_loopback

SETTLE_S = 0.1
LAST_EVENTS_S = 1.0
STREAM_REQUEST = (
    b"POST /trace/1 HTTP/1.1\r\nhost: a.example\r\nx-agatehoist-request-id: r1\r\n"
    b"api-key: key-of-the-crew\r\nx-agatehoist-model-name: songs-large\r\n"
    b"x-agatehoist-token-count: 130,5\r\nx-agatehoist-prompt-prefix: aa:100,bb:30\r\n"
    b"content-length: 2\r\n\r\n{}"
)


class RepeatedRefusalTests(unittest.TestCase):
    # Whether the refusal that is sent once more has the id of its request, and how the
    # next request on the connection ends: with its own answer or an unknown outcome.
    @parameterized.expand([("named", {200}), ("unnamed", {200, 502, 504})])
    def test_earlier_refusal_is_not_taken_for_the_next_answer(
        self, naming: str, statuses: set[int]
    ) -> None:
        world = GatewayHarness()
        world.applications.pop()
        (endpoint,) = world.applications
        endpoint.repeats_refusals = naming
        endpoint.faults = ["shed", "", "shed", "", ""]

        async def run() -> list[int]:
            async with running_gateway(world):
                replies = []
                for number in range(5):
                    headers = {"x_agatehoist_request_id": f"r{number}"}
                    replies.append(await world.ask("/post/1", "POST", **headers))
                return [each.head.status for each in replies]

        results = anyio.run(run)
        run_ids = world.runs()
        self.assertEqual(len(run_ids), len(set(run_ids)))
        for number, status in enumerate(results):
            if f"r{number}" in run_ids:
                self.assertIn(status, statuses)
            else:
                self.assertEqual(status, 503)

    @parameterized.expand([("named",), ("unnamed",)])
    def test_earlier_refusal_does_not_run_a_request_twice(self, naming: str) -> None:
        world = GatewayHarness()
        for each in world.applications:
            each.repeats_refusals = naming
            each.faults = ["shed", "", "shed", "", ""]

        async def run() -> None:
            async with running_gateway(world):
                for number in range(8):
                    headers = {"x_agatehoist_request_id": f"r{number}"}
                    await world.ask("/post/1", "POST", **headers)

        anyio.run(run)
        run_ids = world.runs()
        self.assertEqual(len(run_ids), len(set(run_ids)))

    def test_earlier_refusal_does_not_end_a_run_that_moves_there(self) -> None:
        world = GatewayHarness(2)
        for each in world.engines:
            each.event_count = 60
            each.repeats_refusals = "named"
        faults = ["shed"]
        for each in world.engines:
            each.faults = faults

        async def run() -> bytes:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                bodies = []

                async def ask() -> None:
                    bodies.append((await world.ask_prompt("/credit/1")).body)

                task_group.start_soon(ask)
                await until(lambda: any(each.active for each in world.engines))
                await anyio.sleep(0.1)
                (source,) = (each for each in world.engines if each.active)
                world.list_endpoint(source, State="draining")
                await until(lambda: bool(bodies))
                return bodies[0]

        body = anyio.run(run)
        self.assertTrue(body.endswith(b"data: t60\n\n"))
        self.assertEqual(len([r for e in world.engines for r in e.continued_runs]), 1)


class BrokenStreamTests(unittest.TestCase):
    # What the next endpoint answers after a stream has broken off behind two events.
    @parameterized.expand(
        [("error", "fail"), ("not_found", "missing"), ("no_stream", "plain")]
    )
    def test_answer_of_the_next_endpoint_does_not_get_into_the_stream(
        self, _name: str, fault: str
    ) -> None:
        world = GatewayHarness()
        faults = ["cut", fault, fault, fault]
        for each in world.engines:
            each.faults = faults

        async def run() -> bytes:
            async with running_gateway(world):
                channel = await connect(HOST, world.port)
                received = bytearray()
                try:
                    await channel.send(STREAM_REQUEST)
                    while data := await channel.receive():
                        received += data
                except ConnectionFailedError:
                    pass
                channel.close()
                return bytes(received)

        received = anyio.run(run)
        self.assertEqual(received.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"r1 by engine", received)
        # The last chunk would make the stream look complete.
        self.assertFalse(received.endswith(b"0\r\n\r\n"))


def list_application(world: GatewayHarness, port: int) -> None:
    """Write the entry of an application called cutter to the store."""
    entry = {
        "Service": APPLICATION,
        "Address": f"{HOST}:{port}",
        "Zone": "z1",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdLeftMs": 0,
        "Models": [],
        "SeqNo": 0,
        "born": 1,
    }
    world.store.put("servers", "cutter", entry)


class CutHeadTests(unittest.TestCase):
    # The whole answer, cut after each of its bytes up to the end of its head.
    @parameterized.expand(
        [("with_length", b"content-length: 7\r\n"), ("unframed", b"")]
    )
    def test_answer_cut_in_its_head_is_no_success(
        self, _name: str, framing: bytes
    ) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nx-agatehoist-server-stamp: s\r\n"
            b"x-agatehoist-request-id: r1\r\n" + framing + b"\r\n"
        )

        async def run() -> set[int]:
            world = GatewayHarness()
            world.applications.clear()
            heads = [head]
            statuses = set()

            async def answer(channel) -> None:  # type: ignore[no-untyped-def]
                await channel.receive()
                await channel.send(heads[-1])
                channel.close()

            async with running_gateway(world), listen_on_loopback(answer) as port:
                list_application(world, port)
                await anyio.sleep(0.2)
                for cut_at in range(1, len(head)):
                    heads.append(head[:cut_at])
                    world.state.suspects.note_answer("cutter")
                    reply = await world.ask("/post/1", "POST")
                    statuses.add(reply.head.status)
            return statuses

        self.assertNotIn(200, anyio.run(run))


# The path of a request, its status if only its first run is answered so, and the runs
# then. Only requests that may run again get the answer of another endpoint.
OUTCOMES_BY_PATH = {
    "/post/1": (502, 1),
    "/look/1": (200, 2),
    "/credit/1": (502, 1),
    "/trace/1": (200, 2),
}
UPLOAD = b"x" * 60_000
# The socket of a gateway takes it, but not that of an endpoint which reads nothing.
UNREAD_UPLOAD = b"x" * 600_000
PART_OF_ANSWER = (
    b"HTTP/1.1 200 OK\r\nx-agatehoist-server-stamp: s\r\n"
    b"x-agatehoist-request-id: r1\r\n\r\npart"
)


async def ask_once(path: str, body: bytes, faults: list[str]) -> tuple[int, int]:
    """Return the status of the reply to a request, or 0, and the number of its runs."""
    world = GatewayHarness()
    for each in world.endpoints():
        each.faults = faults
    status = 0
    async with running_gateway(world):
        with suppress(ConnectionFailedError):
            if path in ("/credit/1", "/trace/1"):
                reply = await world.ask_prompt(path)
            else:
                method = "POST" if path == "/post/1" else "GET"
                reply = await world.ask(path, method, body)
            status = reply.head.status
    return status, len(world.runs())


class InvalidStatusTests(unittest.TestCase):
    @parameterized.expand(
        [(path, each) for path in OUTCOMES_BY_PATH for each in INVALID_STATUSES]
    )
    def test_reply_with_invalid_status_is_not_passed_on(
        self, path: str, status: str
    ) -> None:
        result = anyio.run(ask_once, path, b"", [f"status_{status}"])
        self.assertEqual(result, OUTCOMES_BY_PATH[path])

    @parameterized.expand([("/look/1",), ("/trace/1",)])
    def test_invalid_status_of_all_endpoints_is_not_passed_on(self, path: str) -> None:
        status, _ = anyio.run(ask_once, path, b"", ["status_600"] * 9)
        self.assertEqual(status, 502)


class ResetTests(unittest.TestCase):
    # The endpoint has received the whole request when it resets its answer. The status
    # of the reply, 0 if it breaks off after its events, and the number of runs.
    @parameterized.expand(
        [
            ("no_body", "/post/1", b"", 502, 1),
            ("upload", "/post/1", UPLOAD, 502, 1),
            ("retried", "/look/1", b"", 200, 2),
            ("retried_upload", "/look/1", UPLOAD, 200, 2),
            ("stream", "/credit/1", b"", 0, 1),
            ("resumed_stream", "/trace/1", b"", 200, 2),
        ]
    )
    def test_reset_in_place_of_the_end_is_no_success(
        self, _name: str, path: str, body: bytes, status: int, runs: int
    ) -> None:
        result = anyio.run(ask_once, path, body, ["unframed_reset"])
        self.assertEqual(result, (status, runs))

    def test_reset_at_the_moment_of_a_stop_is_no_success(self) -> None:
        """The look for unread answers must not take the error from their reader."""
        world = GatewayHarness()
        world.applications.clear()

        async def answer(channel) -> None:  # type: ignore[no-untyped-def]
            await channel.receive()
            await channel.send(PART_OF_ANSWER)
            await anyio.sleep(SETTLE_S)
            # The gateway stops before its loop has reported the reset.
            channel.abort()
            last_events_until = anyio.current_time() + LAST_EVENTS_S
            world.state.active_requests.end_for_stop(last_events_until)

        async def run() -> int:
            async with running_gateway(world), listen_on_loopback(answer) as port:
                list_application(world, port)
                await anyio.sleep(2 * SETTLE_S)
                return (await world.ask("/post/1", "POST")).head.status

        self.assertEqual(anyio.run(run), 502)

    def test_part_of_an_answer_to_an_unread_upload_is_no_success(self) -> None:
        world = GatewayHarness()
        world.applications.clear()
        changed = configuration()
        changed["Limits"]["MaxBodyBytes"] = len(UNREAD_UPLOAD)
        world.store.put("config", "main", changed)
        runs = 0

        async def answer(channel) -> None:  # type: ignore[no-untyped-def]
            nonlocal runs
            # The gateway also looks whether the endpoint has crashed.
            if (await channel.receive()).startswith(b"POST"):
                runs += 1
                await channel.send(PART_OF_ANSWER)
                channel._sock.shutdown(socket.SHUT_WR)
            channel.abort()

        async def run() -> int:
            async with running_gateway(world), listen_on_loopback(answer) as port:
                list_application(world, port)
                await anyio.sleep(2 * SETTLE_S)
                return (await world.ask("/post/1", "POST", UNREAD_UPLOAD)).head.status

        self.assertEqual(anyio.run(run), 502)
        self.assertEqual(runs, 1)
