"""Faults that the soak injects, all from outside the processes."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.registry import Registry
from soak.odd_entries import make_odd_entry
from soak.proxy import Fault
from soak.traffic import PROMPT_COUNT
from soak.types import GRACE_S, DeadlyRequest, LaterSignal, StatementPeriod
from standins.users_platform.endpoint import EVENT_INTERVAL_S, FAULTS, MOVE_FAULTS
from standins.users_platform.harness import until
from standins.users_platform.store import RawJson

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from soak.testbed import Testbed
    from standins.users_platform.endpoint import EndpointStandIn

FAULT_INJECTORS: Registry[Callable[..., Awaitable[None]]] = Registry("trouble")

MAX_FAULT_S = 3.0
# Longest pause between the steps of a fault, and shortest duration of a lasting fault.
PAUSE_S = 0.2
MAX_CONSECUTIVE_FAULTS = 6
STREAM_FAULTS = frozenset({"cut", "stall"})
# Long enough for the crashes that make a part or a request known, and what follows.
MIN_DEADLY_S = 7.0
# Share of the deadly requests whose engines crash after some events.
STREAMED_CRASH_SHARE = 0.25
MIN_SILENCE_S, MAX_SILENCE_S = 0.8, 1.5
# Between the stops of gateways in turn.
STOP_INTERVALS_S = 1.0, 2.5
SLOWDOWNS = 1.5, 4.0
# What may go on beside stops that overlap.
PLANNED_WORK = (
    "configuration_series",
    "endpoint_leaves",
    "endpoint_leaves_by_answer",
    "hangup",
    "slow_engines",
    "weights",
)
# What goes on while the last steps of moves fail, in series.
MOVE_CAUSES = ("endpoint_leaves", "endpoint_leaves_by_answer", "weights")
MAX_STOP_DELAY_S = 0.5
# Share of the releases in which an engine comes back under its id with the new version.
RESTARTED_SHARE = 0.3
# How long engines drain until they leave.
DRAIN_S = 1.0, 4.0
# Long enough for all gateways to know what an endpoint says, and for what follows.
MIN_STATED_S = 5.0


@FAULT_INJECTORS.register("kill")
async def _kill_gateways(testbed: Testbed, rng: random.Random) -> None:
    gateways = rng.sample(testbed.gateways, rng.randint(1, len(testbed.gateways)))
    await _kill_at_once(testbed, gateways, rng.uniform(0, MAX_FAULT_S / 2))


@FAULT_INJECTORS.register("kill_all")
async def _kill_all_gateways(testbed: Testbed, rng: random.Random) -> None:
    await _kill_at_once(testbed, testbed.gateways, rng.uniform(0, MAX_FAULT_S / 2))


async def _kill_at_once(
    testbed: Testbed, gateways: Sequence[str], down_s: float
) -> None:
    with testbed.recording_fault(*gateways):
        async with anyio.create_task_group() as task_group:
            for each in gateways:
                task_group.start_soon(testbed.restart, each, signal.SIGKILL, down_s)
        await anyio.sleep(MAX_FAULT_S)


@FAULT_INJECTORS.register("stop_in_turn")
async def _stop_gateways_in_turn(testbed: Testbed, rng: random.Random) -> None:
    gateways = rng.sample(testbed.gateways, rng.randint(1, len(testbed.gateways)))
    for each in gateways:
        with testbed.recording_fault(each):
            down_s = rng.uniform(0, PAUSE_S)
            await testbed.restart(each, signal.SIGTERM, down_s, rng.randint(1, 3))
            await anyio.sleep(down_s)


@FAULT_INJECTORS.register("stops_that_overlap")
async def _stop_gateways_that_overlap(testbed: Testbed, rng: random.Random) -> None:
    gateways = rng.sample(testbed.gateways, rng.randint(1, len(testbed.gateways)))
    for _ in range(2):
        async with anyio.create_task_group() as task_group:
            for each in gateways:
                task_group.start_soon(_stop_with_later_signals, testbed, rng, each)
                await anyio.sleep(rng.uniform(*STOP_INTERVALS_S))


async def _stop_with_later_signals(
    testbed: Testbed, rng: random.Random, gateway: str
) -> None:
    later = tuple(
        LaterSignal(each, rng.uniform(0, GRACE_S))
        for each in rng.sample((signal.SIGTERM, signal.SIGHUP), rng.randint(0, 2))
    )
    with testbed.recording_fault(gateway):
        down_s = rng.uniform(0, PAUSE_S)
        await testbed.restart(gateway, signal.SIGTERM, down_s, later_signals=later)
        await until(lambda: testbed.has_started(gateway))


@FAULT_INJECTORS.register("planned_work")
async def _overlap_planned_work(testbed: Testbed, rng: random.Random) -> None:
    async with anyio.create_task_group() as task_group:
        for each in rng.sample(PLANNED_WORK, rng.randint(1, len(PLANNED_WORK))):
            task_group.start_soon(_repeat, each, testbed, rng)
        await _stop_gateways_that_overlap(testbed, rng)
        task_group.cancel_scope.cancel()


async def _repeat(name: str, testbed: Testbed, rng: random.Random) -> None:
    while True:
        # A gateway that is told to stop must end, and an endpoint must come back.
        with anyio.CancelScope(shield=True):
            await FAULT_INJECTORS[name](testbed, rng)
        await anyio.sleep(rng.uniform(0, MAX_FAULT_S))


@FAULT_INJECTORS.register("slow_engines")
async def _slow_engines_down(testbed: Testbed, rng: random.Random) -> None:
    engines = testbed.harness.engines
    slowed = rng.sample(engines, rng.randint(1, len(engines)))
    for each in slowed:
        each.event_interval_s = EVENT_INTERVAL_S * rng.uniform(*SLOWDOWNS)
    await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
    for each in slowed:
        each.event_interval_s = EVENT_INTERVAL_S


@FAULT_INJECTORS.register("stop_beside_hung_requests")
async def _stop_beside_hung_requests(testbed: Testbed, rng: random.Random) -> None:
    # Requests without an answer keep the process up, so that others come late.
    for each in rng.sample(testbed.harness.endpoints(), 2):
        each.faults += ["mute"] * rng.randint(1, 3)
    await anyio.sleep(rng.uniform(PAUSE_S, 1.0))
    gateway = rng.choice(testbed.gateways)
    with testbed.recording_fault(gateway):
        await testbed.restart(gateway, signal.SIGTERM, rng.uniform(0, PAUSE_S))


@FAULT_INJECTORS.register("suspend")
async def _suspend_gateway(testbed: Testbed, rng: random.Random) -> None:
    gateway = rng.choice(testbed.gateways)
    # A restart may replace the process under this name before this one is resumed.
    process = testbed.fleet.processes_by_name.get(gateway)
    if process is None:
        return
    with (
        testbed.recording_fault(gateway),
        testbed.recording(testbed.suspensions, gateway),
    ):
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
        process.send_signal(signal.SIGCONT)


@FAULT_INJECTORS.register("hangup")
async def _send_hangups(testbed: Testbed, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 4)):
        gateway = rng.choice(testbed.gateways)
        # SIGHUP makes a gateway reload its settings, but kills the process until the
        # program has installed its handler.
        if testbed.has_started(gateway):
            testbed.signal(gateway, signal.SIGHUP)
        await anyio.sleep(rng.uniform(0, PAUSE_S))


@FAULT_INJECTORS.register("cut_from_the_store")
async def _disrupt_store_connections(testbed: Testbed, rng: random.Random) -> None:
    gateways = rng.sample(testbed.gateways, rng.randint(1, len(testbed.gateways)))
    fault = rng.choice([each for each in Fault if each is not Fault.NONE])
    with testbed.recording_fault(*gateways):
        for each in gateways:
            testbed.store_proxies_by_gateway[each].fault = fault
            if fault is Fault.REFUSED:
                testbed.store_proxies_by_gateway[each].reset()
        await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
        for each in gateways:
            testbed.store_proxies_by_gateway[each].fault = Fault.NONE


@FAULT_INJECTORS.register("store_down")
async def _take_store_down(testbed: Testbed, rng: random.Random) -> None:
    with testbed.recording_fault(*testbed.gateways):
        testbed.harness.store.down = True
        await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
        testbed.harness.store.down = False


@FAULT_INJECTORS.register("store_forgets")
async def _drop_store_history(testbed: Testbed, rng: random.Random) -> None:
    testbed.harness.store.abort_watches()
    await anyio.sleep(rng.uniform(0, PAUSE_S))
    testbed.harness.store.compact_history()


@FAULT_INJECTORS.register("cut_endpoint")
async def _disrupt_endpoint_connections(testbed: Testbed, rng: random.Random) -> None:
    name, proxy = rng.choice(tuple(testbed.endpoint_proxies_by_name.items()))
    with testbed.recording(testbed.path_faults, name):
        if rng.random() < 0.4:
            proxy.reset()
            return
        proxy.fault = rng.choice(list(Fault))
        await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
        proxy.fault = Fault.NONE


@FAULT_INJECTORS.register("sick_endpoint")
async def _fail_endpoint_requests(testbed: Testbed, rng: random.Random) -> None:
    endpoint = rng.choice(testbed.harness.endpoints())
    # The endpoint handles "shed" itself, since it refuses the request before it runs.
    fault_names = ["shed", *(str(each) for each in FAULTS)]
    # Applications don't stream.
    if not endpoint.model:
        fault_names = [each for each in fault_names if each not in STREAM_FAULTS]
    endpoint.faults += rng.choices(
        fault_names, k=rng.randint(1, MAX_CONSECUTIVE_FAULTS)
    )


@FAULT_INJECTORS.register("deadly_part")
async def _let_part_crash_engines(testbed: Testbed, rng: random.Random) -> None:
    # A new part each time, since gateways may refuse the previous ones for long.
    part = f"deadly-{rng.randrange(1 << 32):x}"
    testbed.harness.deadly_parts.add(part)
    await anyio.sleep(rng.uniform(MIN_DEADLY_S, MIN_DEADLY_S + MAX_FAULT_S))
    testbed.harness.deadly_parts.discard(part)


@FAULT_INJECTORS.register("deadly_request")
async def _let_request_crash_endpoints(testbed: Testbed, rng: random.Random) -> None:
    requests = [_make_deadly_request(rng) for _ in range(rng.randint(1, 2))]
    if rng.random() < STREAMED_CRASH_SHARE:
        for endpoint in testbed.harness.engines:
            endpoint.crash_after_events = rng.randint(1, 3)
    for each in requests:
        testbed.add_deadly_request(each)
    await anyio.sleep(rng.uniform(MIN_DEADLY_S, MIN_DEADLY_S + MAX_FAULT_S))
    for each in requests:
        testbed.remove_deadly_request(each)
    for endpoint in testbed.harness.engines:
        endpoint.crash_after_events = 0


def _make_deadly_request(rng: random.Random) -> DeadlyRequest:
    route = rng.choice(("find", "post", "trace", "credit"))
    name = f"{route}-{rng.randrange(1 << 32):x}"
    prompt = rng.randrange(PROMPT_COUNT)
    # One that can't have a body differs from sound ones in its path.
    if route == "find":
        return DeadlyRequest(name, route, "GET", f"/{route}/{name}", b"", prompt)
    return DeadlyRequest(name, route, "POST", f"/{route}/x", name.encode(), prompt)


@FAULT_INJECTORS.register("silence")
async def _silence_endpoints(testbed: Testbed, rng: random.Random) -> None:
    proxies = testbed.endpoint_proxies_by_name
    names = rng.sample(tuple(proxies), rng.randint(1, len(proxies)))
    for _ in range(rng.randint(1, 2)):
        # An endpoint may be in another such silence.
        silenced = [each for each in names if not proxies[each].is_paused]
        with testbed.recording(testbed.silences, *silenced):
            for each in silenced:
                proxies[each].is_paused = True
            await anyio.sleep(rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S))
            for each in silenced:
                proxies[each].is_paused = False
        await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))


@FAULT_INJECTORS.register("odd_entry")
async def _add_odd_entry(testbed: Testbed, rng: random.Random) -> None:
    store = testbed.harness.store
    name = f"odd-{rng.randrange(1 << 32):x}"
    store.put("servers", name, RawJson(make_odd_entry(rng)))
    await anyio.sleep(rng.uniform(0, PAUSE_S))
    # Changes made meanwhile have to be followed.
    testbed.change_configuration()
    leaver = testbed.choose_leaver(rng)
    if leaver is not None:
        await _leave_by_entry(testbed, rng, leaver)
    if store.spec("servers", name) is not None:
        store.remove("servers", name)


async def _leave_by_entry(
    testbed: Testbed, rng: random.Random, endpoint: EndpointStandIn
) -> None:
    began_at = time.monotonic()
    with testbed.draining(endpoint):
        await anyio.sleep(rng.uniform(MIN_STATED_S, MIN_STATED_S + MAX_FAULT_S))
        testbed.statement_periods.append(
            StatementPeriod("leaving", endpoint.name, began_at, time.monotonic())
        )


@FAULT_INJECTORS.register("endpoint_leaves")
async def _drain_endpoint(testbed: Testbed, rng: random.Random) -> None:
    endpoint = testbed.choose_leaver(rng)
    if endpoint is None:
        return
    with testbed.draining(endpoint):
        await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
        if rng.random() < 0.5:
            testbed.harness.store.remove("servers", endpoint.name)
            await anyio.sleep(rng.uniform(0, PAUSE_S))


@FAULT_INJECTORS.register("configuration")
async def _change_configuration(testbed: Testbed, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        testbed.change_configuration()
        await anyio.sleep(rng.uniform(0, PAUSE_S))


@FAULT_INJECTORS.register("configuration_series")
async def _change_configuration_in_series(testbed: Testbed, rng: random.Random) -> None:
    for _ in range(rng.randint(4, 10)):
        testbed.change_configuration(rng)
        if rng.random() < 0.3:
            await _send_hangups(testbed, rng)
        await anyio.sleep(rng.uniform(0, 2 * PAUSE_S))


@FAULT_INJECTORS.register("weights")
async def _publish_weights(testbed: Testbed, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 2)):
        testbed.publish_weights()
        await anyio.sleep(rng.uniform(0, MAX_FAULT_S))


@FAULT_INJECTORS.register("endpoint_names_limit")
async def _name_limits(testbed: Testbed, rng: random.Random) -> None:
    # One that names a limit already would take it back too early.
    unlimited = [e for e in testbed.harness.endpoints() if e.limit_per_s is None]
    if len(unlimited) < 2:
        return
    limited = rng.sample(unlimited, rng.randint(1, len(unlimited) - 1))
    limit_per_s = round(rng.uniform(1.0, 6.0), 1)
    began_at = time.monotonic()
    for each in limited:
        each.limit_per_s = limit_per_s
    await anyio.sleep(rng.uniform(MIN_STATED_S, MIN_STATED_S + MAX_FAULT_S))
    for each in limited:
        each.limit_per_s = None
        testbed.statement_periods.append(
            StatementPeriod("limit", each.name, began_at, time.monotonic(), limit_per_s)
        )


@FAULT_INJECTORS.register("endpoint_leaves_by_answer")
async def _leave_by_answer(testbed: Testbed, rng: random.Random) -> None:
    endpoint = testbed.choose_leaver(rng)
    if endpoint is None:
        return
    testbed.leaving_endpoints.add(endpoint.name)
    began_at = time.monotonic()
    endpoint.is_leaving = True
    await anyio.sleep(rng.uniform(MIN_STATED_S, MIN_STATED_S + MAX_FAULT_S))
    endpoint.is_leaving = False
    # Nobody knows it before the first request, as while an engine changes its weights.
    stated_at = next(
        (at for at in endpoint.arrivals if at > began_at), time.monotonic()
    )
    testbed.statement_periods.append(
        StatementPeriod("leaving", endpoint.name, stated_at, time.monotonic())
    )
    endpoint.started_ms += rng.randint(1, 5)
    testbed.publish_endpoint(endpoint.name)
    testbed.leaving_endpoints.discard(endpoint.name)


@FAULT_INJECTORS.register("endpoint_asks_for_time")
async def _ask_for_time(testbed: Testbed, rng: random.Random) -> None:
    endpoint = rng.choice(testbed.harness.endpoints())
    endpoint.pause_s = round(rng.uniform(0.2, MAX_FAULT_S), 1)
    endpoint.faults += ["shed"] * rng.randint(1, MAX_CONSECUTIVE_FAULTS)
    await anyio.sleep(rng.uniform(PAUSE_S, MAX_FAULT_S))
    endpoint.pause_s = None


@FAULT_INJECTORS.register("store_restored")
async def _restore_store(testbed: Testbed, rng: random.Random) -> None:
    store = testbed.harness.store
    copied = store.copy()
    await anyio.sleep(rng.uniform(0, 2 * MAX_FAULT_S))
    with testbed.recording_fault(*testbed.gateways):
        store.down = True
        await anyio.sleep(rng.uniform(0, MAX_FAULT_S / 2))
        await testbed.restore_store(copied, rng.uniform(0, PAUSE_S))
        store.down = False


@FAULT_INJECTORS.register("release")
async def _release_software(testbed: Testbed, rng: random.Random) -> None:
    started = testbed.start_engines(rng)
    for each in started:
        testbed.list_engine(each)
        await anyio.sleep(rng.uniform(0, 2 * PAUSE_S))
    async with anyio.create_task_group() as task_group:
        for _ in started:
            # The last engines stay if others leave at the same time.
            old = _choose_old_engine(testbed, rng)
            if old is None or _count_staying(testbed) <= 1:
                break
            testbed.begin_drain(old)
            task_group.start_soon(_retire, testbed, rng, old)
            await anyio.sleep(rng.uniform(0, 2 * PAUSE_S))
        restarted = _choose_old_engine(testbed, rng)
        if restarted is not None and rng.random() < RESTARTED_SHARE:
            restarted.crash()
            restarted.software = f"v{testbed.software_number}"


def _count_staying(testbed: Testbed) -> int:
    names = {each.name for each in testbed.harness.engines}
    return len(names - testbed.leaving_endpoints)


def _choose_old_engine(testbed: Testbed, rng: random.Random) -> EndpointStandIn | None:
    """Return an engine that serves with another than the newest version, if any."""
    newest = f"v{testbed.software_number}"
    old = [
        each
        for each in testbed.harness.engines
        if each.name not in testbed.leaving_endpoints and each.software != newest
    ]
    return rng.choice(old) if old else None


async def _retire(
    testbed: Testbed, rng: random.Random, engine: EndpointStandIn
) -> None:
    await anyio.sleep(rng.uniform(*DRAIN_S))
    testbed.retire(engine)


@FAULT_INJECTORS.register("unframed_streams")
async def _write_streams_without_framing(testbed: Testbed, rng: random.Random) -> None:
    engines = testbed.harness.engines
    unframed = rng.sample(engines, rng.randint(1, len(engines)))
    for each in unframed:
        testbed.set_framing(each, are_unframed=True)
    await anyio.sleep(rng.uniform(MAX_FAULT_S, 2 * MAX_FAULT_S))
    for each in unframed:
        testbed.set_framing(each, are_unframed=False)


@FAULT_INJECTORS.register("last_steps_of_moves")
async def _fail_last_steps_of_moves(testbed: Testbed, rng: random.Random) -> None:
    engines = testbed.harness.engines
    for each in engines:
        # Some succeed.
        faults = ("", *(str(name) for name in MOVE_FAULTS))
        each.move_faults += rng.choices(faults, k=rng.randint(1, 12))
        each.stop_delay_s = rng.choice((0.0, rng.uniform(0, MAX_STOP_DELAY_S)))
        each.stops_inside_event = rng.random() < 0.5
    for _ in range(rng.randint(2, 4)):
        async with anyio.create_task_group() as task_group:
            for name in rng.sample(MOVE_CAUSES, rng.randint(1, 3)):
                task_group.start_soon(FAULT_INJECTORS[name], testbed, rng)
    for each in engines:
        each.move_faults.clear()
        each.stop_delay_s, each.stops_inside_event = 0.0, False
