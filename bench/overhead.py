"""Measure the time that router and sidecar add to an engine's answer."""

from __future__ import annotations

import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import httpx

from standins.fleet import ARCHIVE_KEY, MODEL, run_fleet

REQUESTS = 200
WARM_UP_REQUESTS = 20
PROMPT = "The cannery whistle blew at dawn. " * 400


@dataclass(frozen=True)
class Timing:
    """Hold the times of one request in seconds since it was sent."""

    ttft: float
    total: float


def main() -> None:
    """Print the times of the same requests with and without agatehoist."""
    options = ("--decode", "1000")
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder), engine_options=options) as fleet,
    ):
        direct = _measure(fleet.url("engine-0"))
        routed = _measure(fleet.url("router-0"))
    _report("direct", direct)
    _report("routed", routed)
    added = _median_ms(routed, "ttft") - _median_ms(direct, "ttft")
    print(f"added at the median: {added:.2f} ms to the first token")


def _measure(url: str) -> list[Timing]:
    headers = {"Authorization": f"Bearer {ARCHIVE_KEY}"}
    with httpx.Client(base_url=url, headers=headers, timeout=20) as client:
        timings = [_time_request(client) for _ in range(WARM_UP_REQUESTS + REQUESTS)]
    return timings[WARM_UP_REQUESTS:]


def _time_request(client: httpx.Client) -> Timing:
    body = {"model": MODEL, "prompt": PROMPT, "stream": True}
    sent_at = time.monotonic()
    with client.stream("POST", "/v1/completions", json=body) as response:
        chunks = response.iter_raw()
        next(chunks)
        ttft = time.monotonic() - sent_at
        for _ in chunks:
            pass
    return Timing(ttft, time.monotonic() - sent_at)


def _report(name: str, timings: list[Timing]) -> None:
    for field in ("ttft", "total"):
        values = [getattr(each, field) * 1000 for each in timings]
        p95 = statistics.quantiles(values, n=20)[-1]
        print(f"{name} {field}: p50 {_median_ms(timings, field):.2f} p95 {p95:.2f} ms")


def _median_ms(timings: list[Timing], field: str) -> float:
    return statistics.median(getattr(each, field) * 1000 for each in timings)


if __name__ == "__main__":
    main()
