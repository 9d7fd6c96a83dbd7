"""Troubles that the soak makes, each from outside of the processes."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.registry import Registry
from soak.proxy import Fault
from standins.users_platform.endpoint import FAULTS

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from soak.testbed import Scene

TROUBLES: Registry[Callable[..., Awaitable[None]]] = Registry("trouble")

LONGEST_S = 3.0
PAUSE_S = 0.2
FAULTS_IN_A_ROW = 6


@TROUBLES.register("kill")
async def _kill(scene: Scene, rng: random.Random) -> None:
    gateways = rng.sample(scene.gateways, rng.randint(1, len(scene.gateways)))
    down_s = rng.uniform(0, LONGEST_S / 2)
    with scene.disturbing(*gateways):
        async with anyio.create_task_group() as task_group:
            for each in gateways:
                task_group.start_soon(scene.restart, each, signal.SIGKILL, down_s)
        await anyio.sleep(LONGEST_S)


@TROUBLES.register("stop_in_turn")
async def _stop_in_turn(scene: Scene, rng: random.Random) -> None:
    gateways = rng.sample(scene.gateways, rng.randint(1, len(scene.gateways)))
    for each in gateways:
        with scene.disturbing(each):
            down_s = rng.uniform(0, PAUSE_S)
            await scene.restart(each, signal.SIGTERM, down_s, rng.randint(1, 3))
            await anyio.sleep(down_s)


@TROUBLES.register("suspend")
async def _suspend(scene: Scene, rng: random.Random) -> None:
    gateway = rng.choice(scene.gateways)
    # Another process may have its name when it goes on.
    process = scene.fleet.processes_by_name.get(gateway)
    if process is None:
        return
    with scene.disturbing(gateway):
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(PAUSE_S, LONGEST_S))
        process.send_signal(signal.SIGCONT)


@TROUBLES.register("hangup")
async def _hangup(scene: Scene, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 4)):
        gateway = rng.choice(scene.gateways)
        # Until the program runs, a hangup ends its interpreter.
        if scene.has_begun(gateway):
            scene.signal(gateway, signal.SIGHUP)
        await anyio.sleep(rng.uniform(0, PAUSE_S))


@TROUBLES.register("cut_from_the_store")
async def _cut_from_the_store(scene: Scene, rng: random.Random) -> None:
    gateways = rng.sample(scene.gateways, rng.randint(1, len(scene.gateways)))
    fault = rng.choice([each for each in Fault if each is not Fault.NONE])
    with scene.disturbing(*gateways):
        for each in gateways:
            scene.store_proxies_by_gateway[each].fault = fault
            if fault is Fault.REFUSED:
                scene.store_proxies_by_gateway[each].reset()
        await anyio.sleep(rng.uniform(PAUSE_S, LONGEST_S))
        for each in gateways:
            scene.store_proxies_by_gateway[each].fault = Fault.NONE


@TROUBLES.register("store_down")
async def _store_down(scene: Scene, rng: random.Random) -> None:
    with scene.disturbing(*scene.gateways):
        scene.world.store.down = True
        await anyio.sleep(rng.uniform(PAUSE_S, LONGEST_S))
        scene.world.store.down = False


@TROUBLES.register("store_forgets")
async def _store_forgets(scene: Scene, rng: random.Random) -> None:
    scene.world.store.cut_watches()
    await anyio.sleep(rng.uniform(0, PAUSE_S))
    scene.world.store.forget_history()


@TROUBLES.register("cut_endpoint")
async def _cut_endpoint(scene: Scene, rng: random.Random) -> None:
    proxy = rng.choice(tuple(scene.endpoint_proxies_by_name.values()))
    if rng.random() < 0.4:
        proxy.reset()
        return
    proxy.fault = rng.choice(list(Fault))
    await anyio.sleep(rng.uniform(PAUSE_S, LONGEST_S))
    proxy.fault = Fault.NONE


@TROUBLES.register("sick_endpoint")
async def _sick_endpoint(scene: Scene, rng: random.Random) -> None:
    endpoint = rng.choice(scene.world.endpoints())
    kinds = ["shed", *(str(each) for each in FAULTS)]
    if not endpoint.model:
        kinds.remove("cut")
    endpoint.faults += rng.choices(kinds, k=rng.randint(1, FAULTS_IN_A_ROW))


@TROUBLES.register("endpoint_leaves")
async def _endpoint_leaves(scene: Scene, rng: random.Random) -> None:
    endpoint = rng.choice(scene.world.endpoints())
    scene.list_endpoint(endpoint.name, "draining")
    await anyio.sleep(rng.uniform(PAUSE_S, LONGEST_S))
    if rng.random() < 0.5:
        scene.world.store.remove("servers", endpoint.name)
        await anyio.sleep(rng.uniform(0, PAUSE_S))
    scene.list_endpoint(endpoint.name, lives=rng.randint(0, 5))


@TROUBLES.register("configuration")
async def _configuration(scene: Scene, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        scene.change_configuration()
        await anyio.sleep(rng.uniform(0, PAUSE_S))


@TROUBLES.register("weights")
async def _weights(scene: Scene, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 2)):
        scene.name_weights()
        await anyio.sleep(rng.uniform(0, LONGEST_S))
