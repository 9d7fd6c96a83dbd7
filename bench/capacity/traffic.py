"""Slopes of the processor time of requests, measured on a fleet of real processes."""

from __future__ import annotations

import functools
import os
import tempfile
import time
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import httpx

from agatehoist.placement.policies import PROBES_PER_KEY
from bench.capacity.slopes import slope
from standins.fleet import ARCHIVE_KEY, MODEL, Fleet, run_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER_TOKENS = (16, 64, 128, 256)
# 260,000 answer tokens/s over 570 requests/s.
MEAN_ANSWER_TOKENS = 260_000 // 570
ENGINE_COUNTS = (1, 2, 3, 5)
PROBES_PER_REQUEST = sum(PROBES_PER_KEY)
REQUESTS = 60
WARM_UP_REQUESTS = 10
IDLE_S = 10.0
PROMPT = "The cannery whistle blew at dawn. " * 400
ROUTER = "router-0"
SIDECAR = "sidecar-engine-0"
ENGINE_OPTIONS = ("--decode", "400", "--answer", str(max(ANSWER_TOKENS)))


@dataclass(frozen=True, slots=True)
class ProcessorTimes:
    """Hold the processor time of one request in microseconds, by process."""

    router: float
    sidecar: float


@slope(
    "router: a request by its tokens", "token", "us", ANSWER_TOKENS, MEAN_ANSWER_TOKENS
)
def router_us_by_tokens(tokens: int) -> float:
    """Return the router's processor time of a request with so many answer tokens."""
    return _processor_times_by_tokens()[tokens].router


@slope(
    "sidecar: a request by its tokens", "token", "us", ANSWER_TOKENS, MEAN_ANSWER_TOKENS
)
def sidecar_us_by_tokens(tokens: int) -> float:
    """Return the sidecar's processor time of a request with so many answer tokens."""
    return _processor_times_by_tokens()[tokens].sidecar


@slope(
    "router: a request by its probes", "probe", "us", ENGINE_COUNTS, PROBES_PER_REQUEST
)
def router_us_by_probes(engines: int) -> float:
    """Return the router's processor time of a one-token request to so many engines."""
    with _start_fleet(engines) as fleet:
        _send_requests(fleet, 1, WARM_UP_REQUESTS)
        return _measure_processor_times(fleet, 1).router


def print_idle_shares() -> None:
    """Print the share of a core that the idle router and sidecar use."""
    with _start_fleet() as fleet:
        time.sleep(1)
        before_s_by_process = {
            name: _processor_s(fleet, name) for name in (ROUTER, SIDECAR)
        }
        time.sleep(IDLE_S)
        for name, before_s in before_s_by_process.items():
            share = (_processor_s(fleet, name) - before_s) / IDLE_S
            print(f"idle {name}: {share:.2%} of a core")


@functools.cache
def _processor_times_by_tokens() -> dict[int, ProcessorTimes]:
    with _start_fleet() as fleet:
        _send_requests(fleet, ANSWER_TOKENS[0], WARM_UP_REQUESTS)
        return {
            tokens: _measure_processor_times(fleet, tokens) for tokens in ANSWER_TOKENS
        }


@contextmanager
def _start_fleet(engines: int = 1) -> Iterator[Fleet]:
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(
            Path(folder), engines=engines, engine_options=ENGINE_OPTIONS
        ) as fleet,
    ):
        yield fleet


def _measure_processor_times(fleet: Fleet, tokens: int) -> ProcessorTimes:
    router = _processor_s(fleet, ROUTER)
    sidecar = _processor_s(fleet, SIDECAR)
    _send_requests(fleet, tokens, REQUESTS)
    return ProcessorTimes(
        (_processor_s(fleet, ROUTER) - router) / REQUESTS * 1e6,
        (_processor_s(fleet, SIDECAR) - sidecar) / REQUESTS * 1e6,
    )


def _send_requests(fleet: Fleet, tokens: int, requests: int) -> None:
    headers = {"Authorization": f"Bearer {ARCHIVE_KEY}"}
    body = {"model": MODEL, "prompt": PROMPT, "stream": True, "max_tokens": tokens}
    url = fleet.url(ROUTER)
    with httpx.Client(base_url=url, headers=headers, timeout=60) as client:
        for _ in range(requests):
            client.post("/v1/completions", json=body).raise_for_status()


def _processor_s(fleet: Fleet, name: str) -> float:
    pid = fleet.processes_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
