"""One seeded play: troubles overlap while callers go on, then all must be well."""

from __future__ import annotations

import random
import time
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import ConnectionFailedError
from soak.fault_injection import TROUBLES
from soak.invariants import check_all
from soak.testbed import EVENTS, Scene, calm, scene
from soak.traffic import KINDS, Callers
from soak.types import Broken, Played
from standins.users_platform.serving import HOST
from standins.users_platform.world import until

if TYPE_CHECKING:
    from collections.abc import Iterator

CALLERS = 12
TROUBLES_AT_ONCE = 3
PAUSE_S = 1.0
# What the platform allows for recovery after the last fault, and for new weights.
RECOVER_S = 12.0
STREAM = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1))


async def play(
    seed: int, for_s: float, gateways: int, keep: Path | None = None
) -> Played:
    """Play the troubles of a seed; logs go to a folder that is kept if one broke."""
    rng = random.Random(seed)
    with TemporaryDirectory() as folder:
        async with scene(Path(folder), gateways) as found:
            await until(lambda: all(map(found.has_begun, found.gateways)))
            callers = Callers(found, rng)
            async with anyio.create_task_group() as task_group:
                for _ in range(CALLERS):
                    task_group.start_soon(callers.run)
                troubles = await _trouble(found, rng, for_s)
                calm(found)
                broken = await _recover(found, callers)
                task_group.cancel_scope.cancel()
            found.note_exits()
            broken += [Broken("alive", each, "") for each in found.exits]
            broken += check_all(callers.seen, found.world.runs(), found.changes, STREAM)
            if broken and keep is not None:
                _keep_logs(found, keep / str(seed))
    counts = Counter(each.status for each in callers.seen)
    return Played(seed, tuple(broken), dict(counts), troubles)


async def _trouble(found: Scene, rng: random.Random, for_s: float) -> tuple[str, ...]:
    until = time.monotonic() + for_s
    names = tuple(TROUBLES)
    made: list[str] = []

    async def go_on(own: random.Random) -> None:
        while time.monotonic() < until:
            name = own.choice(names)
            made.append(str(name))
            await TROUBLES[name](found, own)
            await anyio.sleep(own.uniform(0, PAUSE_S))

    async with anyio.create_task_group() as task_group:
        for _ in range(TROUBLES_AT_ONCE):
            task_group.start_soon(go_on, random.Random(rng.random()))
    return tuple(made)


async def _recover(found: Scene, callers: Callers) -> list[Broken]:
    deadline = time.monotonic() + RECOVER_S
    while missing := await _missing(found, callers):
        if time.monotonic() > deadline:
            break
        await anyio.sleep(PAUSE_S)
    return missing


async def _missing(found: Scene, callers: Callers) -> list[Broken]:
    missing = [
        Broken("recover", gateway, f"{kind} is not served")
        for gateway in found.gateways
        for kind in KINDS
        if not await _is_served(found, callers, gateway, kind)
    ]
    for engine in found.world.engines:
        if engine.version != found.weights_version:
            detail = f"weights {engine.version}, not {found.weights_version}"
            missing.append(Broken("weights", engine.name, detail))
    return missing


async def _is_served(found: Scene, callers: Callers, gateway: str, kind: str) -> bool:
    try:
        port = found.fleet.ports_by_name[gateway]
        connection = ClientConnection(await connect(HOST, port))
    except ConnectionFailedError:
        return False
    try:
        return await callers.ask(connection, gateway, kind)
    finally:
        connection.close()


def _keep_logs(found: Scene, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for gateway in found.gateways:
        (folder / f"{gateway}.log").write_text(found.fleet.log(gateway))


def shown(played: Played) -> Iterator[str]:
    """Return the lines that tell how a seed ended."""
    counts = played.requests_by_status
    statuses = ", ".join(f"{status} {counts[status]}" for status in sorted(counts))
    yield f"seed {played.seed}: {len(played.broken)} broken; {statuses}"
    yield f"  {' '.join(played.troubles)}"
    for each in played.broken:
        yield f"  {each.promise}: {each.subject} {each.detail}".rstrip()
