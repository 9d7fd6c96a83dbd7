"""Measure the latency, platform writes and processor time of claims and attempts."""

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

# More calls would exceed a router's budget of platform calls for claims and wait.
MEASURED_CALLS = 35
WARM_UP_CALLS = 10
STREAMS = 2000
FRAMES_PER_STREAM = 24
PLATFORM_WRITE_LIMITS_PER_S = (200, 300, 500)


def main() -> None:
    """Print the added latency, the platform writes and the time of the decisions."""
    with tempfile.TemporaryDirectory() as folder, run_fleet(Path(folder)) as fleet:
        direct_ms = _report_median_ms(
            fleet, "direct", fleet.url("service-0"), "/bookings"
        )
        url = fleet.url("router-0")
        path = f"/services/{SERVICE}/bookings"
        unkeyed_ms = _report_median_ms(fleet, "routed, no key", url, path)
        keyed_ms = _report_median_ms(fleet, "routed, keyed", url, path, keyed=True)
        _report_median_ms(
            fleet, "lookup", url, f"/services/{SERVICE}/cards/1", method="GET"
        )
    print(
        f"added by the path: {unkeyed_ms - direct_ms:.2f} ms, "
        f"by the key: {keyed_ms - unkeyed_ms:.2f}"
    )
    print(
        f"decisions of a stream of {FRAMES_PER_STREAM} frames: "
        f"{_stream_decisions_us():.0f} us"
    )


def _report_median_ms(
    fleet: Fleet,
    name: str,
    url: str,
    path: str,
    keyed: bool = False,
    method: str = "POST",
) -> float:
    """Print the times of one kind of call and return their median in milliseconds."""
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
        earlier_writes = _count_platform_writes(fleet)
        times_ms = _time_ms(call, MEASURED_CALLS)
        writes_per_call = (
            _count_platform_writes(fleet) - earlier_writes
        ) / MEASURED_CALLS
    p95_ms = statistics.quantiles(times_ms, n=20)[-1]
    median = statistics.median(times_ms)
    print(
        f"{name}: p50 {median:.2f} p95 {p95_ms:.2f} ms, "
        f"{writes_per_call:.2f} platform writes"
    )
    if keyed:
        for write_limit in PLATFORM_WRITE_LIMITS_PER_S:
            print(
                f"  {write_limit} writes/s end at "
                f"{write_limit / writes_per_call:.0f} keyed calls/s"
            )
    return median


def _time_ms(call: Callable[[], None], count: int) -> list[float]:
    times_ms = []
    for _ in range(count):
        started_at = time.monotonic()
        call()
        times_ms.append((time.monotonic() - started_at) * 1000)
    return times_ms


def _count_platform_writes(fleet: Fleet) -> int:
    calls = read_json(httpx.get(f"{fleet.url('platform')}/calls"))
    return int(calls.get("write", 0))


def _stream_decisions_us() -> float:
    offer = Offer(Candidate("a", "dc1"), EndpointIdentity("s", "e", "1"), 0, 0.1)
    frames = [
        Tokens(AttemptId("r", 1), index, ("word",))
        for index in range(FRAMES_PER_STREAM)
    ]
    end = CompletionEnd(AttemptId("r", 1), FRAMES_PER_STREAM, "stop", 1, 0)
    rng = random.Random(1)
    started_at = time.process_time()
    for _ in range(STREAMS):
        machine = RequestMachine(
            RetryRules(True, 60.0), RetryBudget(), lambda: AttemptId("r", 1), rng
        )
        machine.start(0.0)
        machine.handle(Offered((offer,)), 0.0)
        for message in (*frames, end):
            machine.handle(event_from_frame(message), 0.0)
    return (time.process_time() - started_at) / STREAMS * 1_000_000


if __name__ == "__main__":
    main()
