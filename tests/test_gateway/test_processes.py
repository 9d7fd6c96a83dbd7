"""Tests of gateway processes: start, changed settings, stop and crash."""

from __future__ import annotations

import contextlib
import signal
import tempfile
import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import anyio.to_thread
from parameterized import parameterized

from agatehoist.gateway.nodes import NODE_KIND
from agatehoist.gateway.watchers import MAX_SELF_WATCHING_NODES
from agatehoist.http1.errors import ConnectionFailedError, InvalidReplyError
from agatehoist.http1.types import RequestHead
from agatehoist.platform.names import READY_PATH
from agatehoist.protocol.store_feed import (
    FEED_TARGET,
    FeedRequest,
    decode_reply,
    encode_request,
)
from agatehoist.stopping.durations import MIN_SAMPLES
from agatehoist.storage.objects import Listing
from agatehoist.storage.revisions import NO_REVISION
from standins.fleet import Fleet
from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    run_standins,
    until,
)
from standins.users_platform.loopback import HOST, listen_on_loopback, send_request
from standins.users_platform.processes import (
    ready_name,
    start_gateway,
    write_settings,
)
from standins.users_platform.store import StoreStandIn
from tests.test_gateway.callers import (
    POST_REQUEST,
    PROMPT_HEADERS,
    PROMPT_REQUEST,
    connect_as_caller,
    read_to_end,
    send_later,
)
from tests.test_platform.odd_entries import ODD_SPECS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from agatehoist.http1.types import Reply
    from agatehoist.storage.objects import StoredValue

NAME = "gateway-0"
START_TIMEOUT_S = 20.0
# The platform's limit for recovery after all hosts run again.
RECOVERY_LIMIT_S = 10.0
# The stop grace period of the settings that the processes are started with.
STOP_LIMIT_S = 8.0
POLL_S = 0.05
CALL_S = 1.5
STREAM_REQUEST = POST_REQUEST.replace(b"/post/", b"/credit/").replace(
    b"\r\n\r\n", b"\r\n" + PROMPT_HEADERS + b"\r\n"
)
# What a caller sends at the begin of the grace period and, so many seconds after it,
# later, and the status of its answer.
CALLS_IN_THE_GRACE = (
    ("at_once", POST_REQUEST, b"", 0.0, 200),
    ("last_byte_early", POST_REQUEST[:-1], POST_REQUEST[-1:], 2.5, 200),
    ("last_byte_in_time", POST_REQUEST[:-1], POST_REQUEST[-1:], 3.5, 200),
    ("last_byte_late", POST_REQUEST[:-1], POST_REQUEST[-1:], 6.3, 503),
    ("last_byte_missing", POST_REQUEST[:-1], b"", 0.0, 503),
    ("stream_late", STREAM_REQUEST[:-1], STREAM_REQUEST[-1:], 3.5, 503),
    ("sent_to_a_silent_endpoint", PROMPT_REQUEST, b"", 0.0, 502),
)
SIGHUPS = 20
SIGNAL_INTERVAL_S = 0.002


@dataclass(frozen=True, slots=True)
class RunningGateway:
    """Hold a gateway process, its endpoints and its store."""

    world: GatewayHarness
    fleet: Fleet
    store_port: int

    async def readiness(self, name: str = NAME) -> int:
        """Return the status of a readiness check, 0 if the connection fails."""
        with contextlib.suppress(ConnectionFailedError):
            port = self.fleet.ports_by_name[ready_name(name)]
            return (await fetch(port, READY_PATH)).head.status
        return 0

    async def wait_for_readiness(
        self, status: int = 200, within_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a readiness check returns a status."""
        with anyio.fail_after(within_s):
            while await self.readiness() != status:  # noqa: ASYNC110
                await anyio.sleep(POLL_S)

    async def wait_for_success(self, path: str, within_s: float) -> None:
        """Wait until a request for a path succeeds."""
        with anyio.fail_after(within_s):
            while not await self._succeeds(path):  # noqa: ASYNC110
                await anyio.sleep(POLL_S)

    async def read_feed(self) -> tuple[StoredValue, ...]:
        """Return the endpoints' entries that a watcher passes on to other nodes."""
        body = encode_request(FeedRequest(0.0, {"endpoints": NO_REVISION}))
        length = (b"content-length", str(len(body)).encode())
        head = RequestHead(b"POST", FEED_TARGET, ((b"host", b"gateway"), length))
        port = self.fleet.inner_ports_by_name[NAME]
        with anyio.fail_after(START_TIMEOUT_S):
            reply = await send_request(port, head, body)
            while reply.head.status != 200:
                await anyio.sleep(POLL_S)
                reply = await send_request(port, head, body)
        update = decode_reply(reply.body).updates_by_topic["endpoints"]
        assert isinstance(update, Listing)
        return update.values

    async def _succeeds(self, path: str) -> bool:
        return (await self.world.ask(path)).head.status == 200


async def fetch(port: int, target: str) -> Reply:
    """Return the reply of a process to GET on a path."""
    head = RequestHead(b"GET", target.encode(), ((b"host", b"gateway"),))
    return await send_request(port, head)


@asynccontextmanager
async def gateway_process(
    world: GatewayHarness | None = None, limits: dict[str, Any] | None = None
) -> AsyncIterator[RunningGateway]:
    """Run a gateway as a process while the context lasts."""
    world = world or GatewayHarness()
    async with run_standins(world) as store_port:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            try:
                start_gateway(fleet, NAME, store_port, limits)
                world.port = fleet.ports_by_name[NAME]
                yield RunningGateway(world, fleet, store_port)
            finally:
                fleet.kill_all()


def ignores_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP, according to /proc."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    (mask,) = (line for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(mask.split()[1], 16) & 1 << signal.SIGHUP - 1)


def changed_prefix_configuration() -> dict[str, Any]:
    """Return a newer configuration in which one route has another path prefix."""
    changed = configuration(version=4)
    changed["Routes"][0]["PathPrefix"] = "/moved/"
    return changed


def long_timeout_configuration() -> dict[str, Any]:
    """Return a configuration with a timeout of 60 seconds on all routes."""
    long_timeout = configuration()
    for each in long_timeout["Routes"]:
        each["TimeoutMs"] = 60_000
    return long_timeout


class ReadinessTests(unittest.TestCase):
    @parameterized.expand([("store_down", True), ("no_configuration", False)])
    def test_not_ready_without_store_or_configuration(
        self, _name: str, down: bool
    ) -> None:
        async def run() -> None:
            world = GatewayHarness()
            world.store.down = down
            if not down:
                world.store.remove("config", "main")
            async with gateway_process(world) as gateway:
                await gateway.wait_for_readiness(503)
                reply = await world.ask("/look/1")
                self.assertEqual(reply.head.status, 503)
                self.assertIsNotNone(reply.head.value(b"retry-after"))
                world.store.down = False
                world.store.put("config", "main", configuration())
                await gateway.wait_for_readiness()
                self.assertEqual((await world.ask("/look/1")).head.status, 200)
            self.assertEqual(len(world.runs()), 1)

        anyio.run(run)

    def test_other_paths_on_readiness_port_return_404(self) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                port = gateway.fleet.ports_by_name[ready_name(NAME)]
                self.assertEqual((await fetch(port, "/")).head.status, 404)

        anyio.run(run)


class SettingsTests(unittest.TestCase):
    # A silent change of the settings file is one without a SIGHUP.
    @parameterized.expand([("signalled", True), ("silent", False)])
    def test_changed_store_address_is_used(
        self, _name: str, sends_sighup: bool
    ) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                other = StoreStandIn()
                other.revision = gateway.world.store.revision + 100
                for kind, objects in gateway.world.store.objects_by_kind.items():
                    for name, each in objects.items():
                        other.put(kind, name, each["Spec"])
                other.put("config", "main", changed_prefix_configuration())
                gateway.world.store.down = True
                async with listen_on_loopback(other.serve) as store_port:
                    write_settings(gateway.fleet, NAME, store_port)
                    if sends_sighup:
                        process = gateway.fleet.processes_by_name[NAME]
                        process.send_signal(signal.SIGHUP)
                    await gateway.wait_for_success("/moved/1", START_TIMEOUT_S)

        anyio.run(run)

    @parameterized.expand(
        [
            ("other_type", "NodeName: 1"),
            ("deep", "NodeName: " + "[" * 200_000),
            ("endless_digits", f"NodeName: {'9' * 5000}"),
        ]
    )
    def test_invalid_settings_file_is_rejected(self, _name: str, text: str) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                (gateway.fleet.folder / f"{NAME}.yaml").write_text(text)
                process = gateway.fleet.processes_by_name[NAME]
                process.send_signal(signal.SIGHUP)
                await until(lambda: "settings rejected" in gateway.fleet.log(NAME))
                reply = await gateway.world.ask("/look/1")
                self.assertEqual(reply.head.status, 200)

        anyio.run(run)

    def test_sighup_after_an_unreadable_settings_file_does_not_end_the_process(
        self,
    ) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                process = gateway.fleet.processes_by_name[NAME]
                path = gateway.fleet.folder / f"{NAME}.yaml"
                # No YAML error: the parser fails to convert the date.
                path.write_text("Zone: 2026-13-45")
                for _ in range(SIGHUPS):
                    process.send_signal(signal.SIGHUP)
                    await anyio.sleep(POLL_S)
                reply = await gateway.world.ask("/look/1")
                self.assertEqual(reply.head.status, 200)
                self.assertIn("settings rejected", gateway.fleet.log(NAME))

        anyio.run(run)


class OddEntryTests(unittest.TestCase):
    @parameterized.expand(
        [
            "deep_list",
            "address_port_of_many_digits",
            "huge_integer_in_unknown_field",
            "surrogate_in_unknown_field",
        ]
    )
    def test_watcher_outlives_an_odd_entry(self, name: str) -> None:
        async def run() -> None:
            world = GatewayHarness()
            world.store.put("servers", "odd", ODD_SPECS[name])
            # Of so many nodes, one in each data centre watches the store for all.
            for number in range(MAX_SELF_WATCHING_NODES):
                node = {"host": HOST, "port": 1 + number, "data_centre": f"z{number}x"}
                world.store.put(NODE_KIND, f"other-{number}", node)
            async with gateway_process(world) as gateway:
                await gateway.wait_for_readiness()
                feed = await gateway.read_feed()
                names = [each.name for each in feed if each.spec is not None]
                self.assertIn("engine-0", names)
                process = gateway.fleet.processes_by_name[NAME]
                self.assertIsNone(process.poll())
                await gateway.wait_for_success("/look/1", START_TIMEOUT_S)

        anyio.run(run)


class StopTests(unittest.TestCase):
    @parameterized.expand([("once", 1), ("again_and_again", 4)])
    def test_running_requests_finish_after_stop_signal(
        self, _name: str, signals: int
    ) -> None:
        """A process that is told to stop finishes its requests and reports 503."""

        async def run() -> None:
            world = GatewayHarness()
            world.store.put("config", "main", long_timeout_configuration())
            for each in world.engines:
                # The stream lasts longer than new connections are accepted after a stop
                # signal.
                each.event_count = 400
            bodies: list[bytes] = []

            async def read_stream() -> None:
                # A stream that can't be resumed at another endpoint.
                bodies.append((await world.ask_prompt("/credit/1")).body)

            async with gateway_process(world) as gateway:
                await gateway.wait_for_readiness()
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(read_stream)
                    await until(lambda: any(each.active for each in world.engines))
                    process = gateway.fleet.processes_by_name[NAME]
                    for _ in range(signals):
                        process.send_signal(signal.SIGTERM)
                        await anyio.sleep(POLL_S)
                    await gateway.wait_for_readiness(503, within_s=1.0)
                    # Callers that the platform still routes here are served.
                    self.assertEqual((await world.ask("/look/1")).head.status, 200)
                status = await anyio.to_thread.run_sync(gateway.fleet.wait, NAME)
                self.assertEqual(status, 0, gateway.fleet.log(NAME))
            self.assertEqual(bodies[0].count(b"data:"), 400)

        anyio.run(run)

    def test_process_exits_within_stop_grace(self) -> None:
        """An endless stream doesn't keep the process beyond its stop grace period."""

        async def run() -> None:
            world = GatewayHarness()
            world.store.put("config", "main", long_timeout_configuration())
            for each in world.engines:
                each.event_count = 100_000

            async def read_stream() -> None:
                with contextlib.suppress(ConnectionFailedError, InvalidReplyError):
                    await world.ask_prompt("/credit/1")

            async with gateway_process(world) as gateway:
                await gateway.wait_for_readiness()
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(read_stream)
                    await until(lambda: any(each.active for each in world.engines))
                    gateway.fleet.processes_by_name[NAME].send_signal(signal.SIGTERM)
                    with anyio.fail_after(STOP_LIMIT_S):
                        status = await anyio.to_thread.run_sync(
                            gateway.fleet.wait, NAME, abandon_on_cancel=True
                        )
                self.assertEqual(status, 0, gateway.fleet.log(NAME))

        anyio.run(run)

    def test_each_request_read_in_the_grace_is_answered_within_it(self) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", long_timeout_configuration())
        statuses_by_name: dict[str, int] = {}

        async def call(name: str, first: bytes, later: bytes, at_s: float) -> None:
            with connect_as_caller(world.port) as sock:
                sock.send(first)
                await send_later(sock, later, at_s)
                reply = await read_to_end(sock)
            statuses_by_name[name] = int(reply.split()[1]) if reply else 0

        async def run() -> None:
            async with gateway_process(world) as gateway:
                await gateway.wait_for_readiness()
                for application in world.applications:
                    application.queue_s = CALL_S
                for engine in world.engines:
                    engine.faults = ["mute"]
                async with anyio.create_task_group() as task_group:
                    for _ in range(MIN_SAMPLES):
                        task_group.start_soon(world.ask, "/post/1", "POST")
                gateway.fleet.processes_by_name[NAME].send_signal(signal.SIGTERM)
                with anyio.fail_after(STOP_LIMIT_S):
                    async with anyio.create_task_group() as task_group:
                        for name, first, later, at_s, _ in CALLS_IN_THE_GRACE:
                            task_group.start_soon(call, name, first, later, at_s)
                        status = await anyio.to_thread.run_sync(
                            gateway.fleet.wait, NAME, abandon_on_cancel=True
                        )
                self.assertEqual(status, 0, gateway.fleet.log(NAME))

        anyio.run(run)
        expected = {name: status for name, *_, status in CALLS_IN_THE_GRACE}
        self.assertEqual(statuses_by_name, expected)
        sent = sum(status != 503 for status in expected.values())
        self.assertEqual(len(world.runs()) - MIN_SAMPLES, sent)


class CrashTests(unittest.TestCase):
    @parameterized.expand([("once", 1), ("three_times", 3)])
    def test_restarted_process_recovers_from_store(
        self, _name: str, crashes: int
    ) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                for _ in range(crashes):
                    await anyio.to_thread.run_sync(gateway.fleet.kill, NAME)
                    gateway.fleet.restart(NAME)
                    await gateway.wait_for_readiness(within_s=RECOVERY_LIMIT_S)
                await gateway.wait_for_success("/look/1", RECOVERY_LIMIT_S)
                registered = gateway.world.store.objects_by_kind["agatehoist-nodes"]
                self.assertEqual(list(registered), [NAME])

        anyio.run(run)

    def test_suspended_process_serves_after_resume(self) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                gateway.fleet.suspend(NAME)
                gateway.world.store.put(
                    "config", "main", changed_prefix_configuration()
                )
                await anyio.sleep(1)
                gateway.fleet.resume(NAME)
                await gateway.wait_for_success("/moved/1", RECOVERY_LIMIT_S)

        anyio.run(run)


class SignalTests(unittest.TestCase):
    @parameterized.expand([("sighup", signal.SIGHUP), ("sigterm", signal.SIGTERM)])
    def test_signals_until_the_process_is_gone_do_not_break_off_its_stop(
        self, _name: str, number: signal.Signals
    ) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                await gateway.wait_for_readiness()
                process = gateway.fleet.processes_by_name[NAME]
                process.send_signal(signal.SIGTERM)
                while process.poll() is None:  # noqa: ASYNC110
                    process.send_signal(number)
                    await anyio.sleep(SIGNAL_INTERVAL_S)
                self.assertEqual(process.returncode, 0, gateway.fleet.log(NAME))

        anyio.run(run)

    def test_sighup_during_start_is_survived(self) -> None:
        async def run() -> None:
            async with gateway_process() as gateway:
                process = gateway.fleet.processes_by_name[NAME]
                # A signal before the interpreter runs the program can't be handled.
                await until(lambda: ignores_hangup(process.pid))
                for _ in range(SIGHUPS):
                    process.send_signal(signal.SIGHUP)
                    await anyio.sleep(POLL_S)
                await gateway.wait_for_readiness()
                self.assertIsNone(process.poll())

        anyio.run(run)
