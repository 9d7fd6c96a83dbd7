"""Measure what claims and attempts cost a request."""

from __future__ import annotations

import itertools
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import httpx

from agatehoist.attempts.budget import RetryBudget
from agatehoist.attempts.machine import RequestMachine
from agatehoist.attempts.types import Offered, RetryRules
from agatehoist.core.identity import AttemptId, EndpointIdentity
from agatehoist.placement.types import Candidate, Offer
from agatehoist.protocol.messages import CompletionEnd, Tokens
from agatehoist.router.frames import event_from_frame
from standins.fleet import ARCHIVE_KEY, SERVICE, Fleet, read_json, run_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

# Few enough that a router's budget of platform calls for claims doesn't pace them.
CALLS = 35
WARM_UP_CALLS = 10
STREAMS = 2000
FRAMES = 24
PLATFORM_WRITES_PER_S = (200, 300, 500)


def main() -> None:
    """Print added milliseconds, platform calls and the decisions' processor time."""
    with tempfile.TemporaryDirectory() as folder, run_fleet(Path(folder)) as fleet:
        direct = _measure(fleet, "direct", fleet.url("service-0"), "/bookings")
        url = fleet.url("router-0")
        path = f"/services/{SERVICE}/bookings"
        plain = _measure(fleet, "routed, no key", url, path)
        keyed = _measure(fleet, "routed, keyed", url, path, keyed=True)
        _measure(fleet, "lookup", url, f"/services/{SERVICE}/cards/1", method="GET")
    print(
        f"added by the path: {plain - direct:.2f} ms, by the key: {keyed - plain:.2f}"
    )
    print(f"decisions of a stream of {FRAMES} frames: {_decisions_us():.0f} us")


def _measure(
    fleet: Fleet,
    name: str,
    url: str,
    path: str,
    keyed: bool = False,
    method: str = "POST",
) -> float:
    """Return the median time of a call in milliseconds."""
    sequence = itertools.count()
    with httpx.Client(base_url=url, timeout=20) as client:

        def call() -> None:
            reference = f"{name}-{next(sequence)}"
            headers = {"Authorization": f"Bearer {ARCHIVE_KEY}"}
            if keyed:
                headers["Idempotency-Key"] = reference
            body = {"reference": reference}
            client.request(method, path, json=body, headers=headers).raise_for_status()

        _time_ms(call, WARM_UP_CALLS)
        before = _platform_writes(fleet)
        times = _time_ms(call, CALLS)
        writes = (_platform_writes(fleet) - before) / CALLS
    p95 = statistics.quantiles(times, n=20)[-1]
    median = statistics.median(times)
    print(f"{name}: p50 {median:.2f} p95 {p95:.2f} ms, {writes:.2f} platform writes")
    if keyed:
        for limit in PLATFORM_WRITES_PER_S:
            print(f"  {limit} writes/s end at {limit / writes:.0f} keyed calls/s")
    return median


def _time_ms(call: Callable[[], None], count: int) -> list[float]:
    times = []
    for _ in range(count):
        began_at = time.monotonic()
        call()
        times.append((time.monotonic() - began_at) * 1000)
    return times


def _platform_writes(fleet: Fleet) -> int:
    calls = read_json(httpx.get(f"{fleet.url('platform')}/calls"))
    return int(calls.get("write", 0))


def _decisions_us() -> float:
    offer = Offer(Candidate("a", "dc1"), EndpointIdentity("s", "e", "1"), 0, 0.1)
    frames = [Tokens(AttemptId("r", 1), index, ("word",)) for index in range(FRAMES)]
    end = CompletionEnd(AttemptId("r", 1), FRAMES, "stop", 1, 0)
    rng = random.Random(1)
    began_at = time.process_time()
    for _ in range(STREAMS):
        machine = RequestMachine(
            RetryRules(True, 60.0), RetryBudget(), lambda: AttemptId("r", 1), rng
        )
        machine.start(0.0)
        machine.handle(Offered((offer,)), 0.0)
        for message in (*frames, end):
            machine.handle(event_from_frame(message), 0.0)
    return (time.process_time() - began_at) / STREAMS * 1_000_000


if __name__ == "__main__":
    main()
