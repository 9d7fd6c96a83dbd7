"""A waiting watch is cut off, then a runner leaves without reporting it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployments import ARCHIVE, HOST, configuration
from gateways import (
    BROKEN,
    HELD,
    Gateway,
    Gateways,
    NotRunError,
    Record,
    has_trouble,
    run_case,
)
from gateways import send as send_request
from runners import Run, Runner
from store import Store

DRAIN_S = 2.0
STABLE_S = 3.0
PACE_S = 0.03
WORK_S = 0.045
LEAVE_DELAY_S = 0.2
# A leaving runner serves for a little longer than DrainMs.
SERVED_LONGER_S = 0.3
WATCHED_S = 2.0


class Client:
    """Send requests at a steady pace and record the answers."""

    def __init__(self, record: Record, gateways: Gateways) -> None:
        self._record = record
        self._gateways = gateways
        self._tasks: list[asyncio.Task[None]] = []
        self.status_by_id: dict[str, int] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        while True:
            gateway = self._gateways.all[number % len(self._gateways.all)]
            number += 1
            self._tasks.append(asyncio.create_task(self._post(gateway, f"r{number}")))
            await asyncio.sleep(PACE_S)

    async def _post(self, gateway: Gateway, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "X-Agatehoist-Request-Id": request_id,
            "X-Agatehoist-Deadline-Ms": "1000",
        }
        address = (gateway.host, gateway.ports["Front"])
        answer = await send_request(*address, "POST", "/post/1", headers, b"{}")
        status = self.status_by_id[request_id] = answer.status if answer else 0
        self._record.write(f"answer {request_id} by {gateway.name} status {status}")


async def play(record: Record) -> int:
    """Play the case and return its result."""
    store = Store("127.0.0.2")
    await store.listen()
    store.put("config", "main", configuration())
    runners = [
        Runner(f"127.0.0.{31 + n}", f"i-{n}", ARCHIVE, store, 6) for n in range(3)
    ]
    for runner in runners:
        runner.work_s = WORK_S
        await runner.listen()
        runner.register()
    gateways = Gateways(record, store.address, 2)
    client = Client(record, gateways)
    try:
        for gateway in gateways.all:
            gateways.start(gateway)
        await gateways.wait_ready()
        traffic = asyncio.create_task(client.run())
        await asyncio.sleep(STABLE_S + 2)
        acked_at, broken_off = await leave(record, store, runners[0])
        await asyncio.sleep(WATCHED_S)
        traffic.cancel()
    finally:
        gateways.close()
    runs = [run for each in runners for run in each.runs]
    for run in sorted(runs, key=lambda each: each.at):
        record.write(f"{run.request_id} reached {run.runner}", run.at)
    for run in broken_off:
        status = client.status_by_id.get(run.request_id)
        record.write(f"{run.request_id} broken off as {run.runner} left: {status}")
    if not any(each.at < acked_at for each in runners[0].runs):
        raise NotRunError("the leaving runner got no request before")
    late = [each for each in runners[0].runs if each.at > acked_at + DRAIN_S]
    for run in late:
        passed = run.at - acked_at
        record.write(
            f"BROKEN {run.request_id} reached {run.runner} after {passed:.3f} s"
        )
    return BROKEN if late else HELD


async def leave(
    record: Record, store: Store, runner: Runner
) -> tuple[float, tuple[Run, ...]]:
    """Cut off the watches, and let a runner leave without reporting that it drains.

    Returns when the store acknowledged its leaving, and the runs that it broke off.
    """
    if has_trouble():
        count = store.cut_watches("servers")
        record.write(f"{count} waiting watches of the runners cut off")
    await asyncio.sleep(LEAVE_DELAY_S)
    store.remove("servers", runner.name)
    acked_at = time.monotonic()
    record.write(f"entry of {runner.name} removed; it goes on serving")
    await asyncio.sleep(DRAIN_S + SERVED_LONGER_S)
    broken_off = runner.exit()
    record.write(f"{runner.name} exits")
    return acked_at, broken_off


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
