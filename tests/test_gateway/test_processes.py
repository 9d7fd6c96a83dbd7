"""Tests of the life of gateway processes: start, settings, stop, loss."""

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

from agatehoist.http1.errors import AnswerGarbledError, ConnectionFailedError
from agatehoist.http1.types import RequestHead
from agatehoist.platform.names import READY_PATH
from standins.fleet import Fleet
from standins.users_platform.processes import (
    ready_name,
    start_gateway,
    write_settings,
)
from standins.users_platform.serving import exchange, listening
from standins.users_platform.store import StoreStandIn
from standins.users_platform.world import World, configuration, surroundings, until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from agatehoist.http1.types import Reply

NAME = "gateway-0"
START_S = 20.0
# What the platform allows after all machines are back.
RECOVER_S = 10.0
GRACE_S = 8.0
LOOK_S = 0.05


@dataclass(frozen=True, slots=True)
class Setting:
    """Hold a gateway process and its surroundings."""

    world: World
    fleet: Fleet
    store_port: int

    async def readiness(self, name: str = NAME) -> int:
        """Return the status of the readiness address, 0 if nothing answers."""
        with contextlib.suppress(ConnectionFailedError):
            port = self.fleet.ports_by_name[ready_name(name)]
            return (await fetch(port, READY_PATH)).head.status
        return 0

    async def until_ready(self, status: int = 200, within_s: float = START_S) -> None:
        """Wait until the readiness address answers with a status."""
        with anyio.fail_after(within_s):
            while await self.readiness() != status:  # noqa: ASYNC110
                await anyio.sleep(LOOK_S)

    async def until_found(self, path: str, within_s: float) -> None:
        """Wait until a request is answered whole."""
        with anyio.fail_after(within_s):
            while not await self._is_found(path):  # noqa: ASYNC110
                await anyio.sleep(LOOK_S)

    async def _is_found(self, path: str) -> bool:
        return (await self.world.ask(path)).head.status == 200


async def fetch(port: int, target: str) -> Reply:
    """Return what a path of a process answers."""
    head = RequestHead(b"GET", target.encode(), ((b"host", b"gateway"),))
    return await exchange(port, head)


@asynccontextmanager
async def gateway_process(world: World | None = None) -> AsyncIterator[Setting]:
    """Run a gateway as a process while the context lasts."""
    world = world or World()
    async with surroundings(world) as store_port:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            try:
                start_gateway(fleet, NAME, store_port)
                world.port = fleet.ports_by_name[NAME]
                yield Setting(world, fleet, store_port)
            finally:
                fleet.kill_all()


def ignores_hangup(pid: int) -> bool:
    """Say whether a process ignores SIGHUP, by its mask in the kernel's view."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    (mask,) = (line for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(mask.split()[1], 16) & 1 << signal.SIGHUP - 1)


def moved_configuration() -> dict[str, Any]:
    """Return a newer configuration, in which one path has moved."""
    newer = configuration(version=4)
    newer["Routes"][0]["PathPrefix"] = "/moved/"
    return newer


def patient_configuration() -> dict[str, Any]:
    """Return a configuration that allows answers of any length."""
    patient = configuration()
    for each in patient["Routes"]:
        each["TimeoutMs"] = 60_000
    return patient


class ReadinessTests(unittest.TestCase):
    @parameterized.expand([("store_down", True), ("no_configuration", False)])
    def test_ready_only_with_knowledge(self, _name: str, down: bool) -> None:
        async def run() -> None:
            world = World()
            world.store.down = down
            if not down:
                world.store.remove("config", "main")
            async with gateway_process(world) as setting:
                await setting.until_ready(503)
                reply = await world.ask("/look/1")
                self.assertEqual(reply.head.status, 503)
                self.assertIsNotNone(reply.head.value(b"retry-after"))
                world.store.down = False
                world.store.put("config", "main", configuration())
                await setting.until_ready()
                self.assertEqual((await world.ask("/look/1")).head.status, 200)
            self.assertEqual(len(world.runs()), 1)

        anyio.run(run)

    def test_other_paths_tell_nothing(self) -> None:
        async def run() -> None:
            async with gateway_process() as setting:
                await setting.until_ready()
                port = setting.fleet.ports_by_name[ready_name(NAME)]
                self.assertEqual((await fetch(port, "/")).head.status, 404)

        anyio.run(run)


class SettingsTests(unittest.TestCase):
    @parameterized.expand([("signalled", True), ("silent", False)])
    def test_store_that_moved(self, _name: str, signalled: bool) -> None:
        async def run() -> None:
            async with gateway_process() as setting:
                await setting.until_ready()
                other = StoreStandIn()
                other.revision = setting.world.store.revision + 100
                for kind, objects in setting.world.store.objects_by_kind.items():
                    for name, each in objects.items():
                        other.put(kind, name, each["Spec"])
                other.put("config", "main", moved_configuration())
                setting.world.store.down = True
                async with listening(other.serve) as store_port:
                    write_settings(setting.fleet, NAME, store_port)
                    if signalled:
                        process = setting.fleet.processes_by_name[NAME]
                        process.send_signal(signal.SIGHUP)
                    await setting.until_found("/moved/1", START_S)

        anyio.run(run)

    def test_file_that_is_wrong_changes_nothing(self) -> None:
        async def run() -> None:
            async with gateway_process() as setting:
                await setting.until_ready()
                (setting.fleet.folder / f"{NAME}.yaml").write_text("NodeName: 1")
                process = setting.fleet.processes_by_name[NAME]
                process.send_signal(signal.SIGHUP)
                await until(lambda: "settings not taken" in setting.fleet.log(NAME))
                reply = await setting.world.ask("/look/1")
                self.assertEqual(reply.head.status, 200)

        anyio.run(run)


class StopTests(unittest.TestCase):
    @parameterized.expand([("once", 1), ("again_and_again", 4)])
    def test_answers_are_finished(self, _name: str, signals: int) -> None:
        """A process that is told to stop finishes what runs and says that it leaves."""

        async def run() -> None:
            world = World()
            world.store.put("config", "main", patient_configuration())
            for each in world.engines:
                # Longer than the time for which new connections are taken.
                each.event_count = 400
            bodies: list[bytes] = []

            async def listen() -> None:
                bodies.append((await world.ask_prompt("/credit/1")).body)

            async with gateway_process(world) as setting:
                await setting.until_ready()
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(listen)
                    await until(lambda: any(each.active for each in world.engines))
                    process = setting.fleet.processes_by_name[NAME]
                    for _ in range(signals):
                        process.send_signal(signal.SIGTERM)
                        await anyio.sleep(LOOK_S)
                    await setting.until_ready(503, within_s=1.0)
                    # Callers that the platform still sends here are served.
                    self.assertEqual((await world.ask("/look/1")).head.status, 200)
                status = await anyio.to_thread.run_sync(setting.fleet.wait, NAME)
                self.assertEqual(status, 0, setting.fleet.log(NAME))
            self.assertEqual(bodies[0].count(b"data:"), 400)

        anyio.run(run)

    def test_grace_is_kept(self) -> None:
        """A caller without end doesn't hold the process beyond its grace."""

        async def run() -> None:
            world = World()
            world.store.put("config", "main", patient_configuration())
            for each in world.engines:
                each.event_count = 100_000

            async def listen() -> None:
                with contextlib.suppress(ConnectionFailedError, AnswerGarbledError):
                    await world.ask_prompt("/credit/1")

            async with gateway_process(world) as setting:
                await setting.until_ready()
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(listen)
                    await until(lambda: any(each.active for each in world.engines))
                    setting.fleet.processes_by_name[NAME].send_signal(signal.SIGTERM)
                    with anyio.fail_after(GRACE_S):
                        status = await anyio.to_thread.run_sync(
                            setting.fleet.wait, NAME, abandon_on_cancel=True
                        )
                self.assertEqual(status, 0, setting.fleet.log(NAME))

        anyio.run(run)


class LossTests(unittest.TestCase):
    @parameterized.expand([("once", 1), ("three_times", 3)])
    def test_serves_again_from_the_store_alone(self, _name: str, losses: int) -> None:
        async def run() -> None:
            async with gateway_process() as setting:
                await setting.until_ready()
                for _ in range(losses):
                    await anyio.to_thread.run_sync(setting.fleet.kill, NAME)
                    setting.fleet.restart(NAME)
                    await setting.until_ready(within_s=RECOVER_S)
                await setting.until_found("/look/1", RECOVER_S)
                registered = setting.world.store.objects_by_kind["agatehoist-nodes"]
                self.assertEqual(list(registered), [NAME])

        anyio.run(run)

    def test_suspended_process_serves_on(self) -> None:
        async def run() -> None:
            async with gateway_process() as setting:
                await setting.until_ready()
                setting.fleet.freeze(NAME)
                setting.world.store.put("config", "main", moved_configuration())
                await anyio.sleep(1)
                setting.fleet.thaw(NAME)
                await setting.until_found("/moved/1", RECOVER_S)

        anyio.run(run)


class SignalTests(unittest.TestCase):
    def test_hangup_while_the_process_starts(self) -> None:
        async def run() -> None:
            async with gateway_process() as setting:
                process = setting.fleet.processes_by_name[NAME]
                # The interpreter itself, before it runs the program, can't be spared.
                await until(lambda: ignores_hangup(process.pid))
                for _ in range(20):
                    process.send_signal(signal.SIGHUP)
                    await anyio.sleep(LOOK_S)
                await setting.until_ready()
                self.assertIsNone(process.poll())

        anyio.run(run)
