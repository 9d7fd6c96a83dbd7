"""Run of one seed: overlapping faults under traffic, then checks of recovery."""

from __future__ import annotations

import random
import time
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.errors import ConnectionFailedError
from soak.configurations import ROUTES
from soak.fault_injection import FAULT_INJECTORS
from soak.report import format_timeline
from soak.resumption_invariants import count_resumptions
from soak.testbed import Testbed, clear_faults, run_testbed
from soak.traffic import Callers, PlannedRequest, open_connection
from soak.types import SeedResult, Violation
from soak.violations import find_violations
from standins.users_platform.harness import until

if TYPE_CHECKING:
    from collections.abc import Sequence

# At least so many, and one for each gateway.
MIN_CALLER_COUNT = 12
SLOW_CALLER_COUNT = 4
OVERUSER_CALLER_COUNT = 3
# Callers of lasting streams beside these faults.
STREAM_CALLER_COUNT = 12
FAULTS_OF_STREAMS = frozenset(
    {"kill_all", "last_steps_of_moves", "release", "unframed_streams"}
)
CONCURRENT_FAULTS = 3
# Engines that start in releases, beside those that serve from the beginning.
SPARE_ENGINE_COUNT = 3
PAUSE_S = 1.0
# The users' platform demands recovery after the last fault, and new weights to be
# loaded, within this time.
RECOVERY_LIMIT_S = 12.0


async def run_seed(
    seed: int,
    duration_s: float,
    gateways: int,
    log_folder: Path | None = None,
    faults: Sequence[str] = (),
) -> SeedResult:
    """Run one seed with these faults, or all.

    On a violation, save the gateway logs under the log folder.
    """
    rng = random.Random(seed)
    names = faults or tuple(FAULT_INJECTORS)
    spare_engines = SPARE_ENGINE_COUNT if "release" in names else 0
    with TemporaryDirectory() as folder:
        async with run_testbed(Path(folder), gateways, spare_engines) as testbed:
            await until(lambda: all(map(testbed.has_started, testbed.gateways)))
            callers = Callers(testbed, rng)
            async with anyio.create_task_group() as task_group:
                for _ in range(max(MIN_CALLER_COUNT, gateways)):
                    task_group.start_soon(callers.run)
                for _ in range(
                    STREAM_CALLER_COUNT if FAULTS_OF_STREAMS & {*names} else 0
                ):
                    task_group.start_soon(callers.run_streams)
                for _ in range(SLOW_CALLER_COUNT):
                    task_group.start_soon(callers.run_slowly)
                for _ in range(OVERUSER_CALLER_COUNT):
                    task_group.start_soon(callers.run_overuser)
                injected_faults = await _inject_faults(testbed, rng, duration_s, names)
                clear_faults(testbed)
                violations = await _wait_for_recovery(testbed, callers)
                task_group.cancel_scope.cancel()
            testbed.record_unexpected_exits()
            violations += [
                Violation("alive", each, "") for each in testbed.unexpected_exits
            ]
            record = testbed.record(callers.results)
            violations += find_violations(record)
            if violations and log_folder is not None:
                _save_logs(testbed, log_folder / str(seed))
                timeline = "\n".join(format_timeline(record))
                (log_folder / str(seed) / "timeline.txt").write_text(timeline)
    counts = Counter(each.status for each in callers.results)
    return SeedResult(
        seed,
        tuple(violations),
        dict(counts),
        injected_faults,
        *count_resumptions(record),
    )


async def _inject_faults(
    testbed: Testbed, rng: random.Random, duration_s: float, names: Sequence[str]
) -> tuple[str, ...]:
    stop_at = time.monotonic() + duration_s
    injected: list[str] = []

    async def inject_repeatedly(worker_rng: random.Random) -> None:
        while time.monotonic() < stop_at:
            name = worker_rng.choice(names)
            injected.append(name)
            await FAULT_INJECTORS[name](testbed, worker_rng)
            await anyio.sleep(worker_rng.uniform(0, PAUSE_S))

    async with anyio.create_task_group() as task_group:
        for _ in range(CONCURRENT_FAULTS):
            task_group.start_soon(inject_repeatedly, random.Random(rng.random()))
    return tuple(injected)


async def _wait_for_recovery(testbed: Testbed, callers: Callers) -> list[Violation]:
    deadline = time.monotonic() + RECOVERY_LIMIT_S
    while unrecovered := await _find_unrecovered(testbed, callers):
        if time.monotonic() > deadline:
            break
        await anyio.sleep(PAUSE_S)
    return unrecovered


async def _find_unrecovered(testbed: Testbed, callers: Callers) -> list[Violation]:
    unrecovered = [
        Violation("recover", gateway, f"{route} is not served")
        for gateway in testbed.gateways
        for route in ROUTES
        if not await _is_served(testbed, callers, gateway, route)
    ]
    for engine in testbed.harness.engines:
        versions = {engine.version, *engine.versions_by_other_model.values()}
        if engine.name in testbed.retired_engines:
            continue
        if versions != {testbed.weights_version}:
            detail = f"weights {versions}, not {testbed.weights_version}"
            unrecovered.append(Violation("weights", engine.name, detail))
    return unrecovered


async def _is_served(
    testbed: Testbed, callers: Callers, gateway: str, route: str
) -> bool:
    try:
        connection = await open_connection(testbed, gateway)
    except ConnectionFailedError:
        return False
    try:
        return await callers.send_request(connection, PlannedRequest(route))
    finally:
        connection.http.close()


def _save_logs(testbed: Testbed, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for gateway in testbed.gateways:
        (folder / f"{gateway}.log").write_text(testbed.fleet.log(gateway))
