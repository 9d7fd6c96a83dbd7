"""Slopes of the processor time that requests take, measured on processes."""

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
MEAN_ANSWER_TOKENS = 260_000 // 570
PROBED = (1, 2, 3, 5)
PROBES_OF_A_REQUEST = sum(PROBES_PER_KEY)
REQUESTS = 60
WARM_UP_REQUESTS = 10
IDLE_S = 10.0
PROMPT = "The cannery whistle blew at dawn. " * 400
ROUTER = "router-0"
SIDECAR = "sidecar-engine-0"
ENGINE_OPTIONS = ("--decode", "400", "--answer", str(max(ANSWER_TOKENS)))


@dataclass(frozen=True, slots=True)
class Use:
    """Hold processor time a request in microseconds."""

    router: float
    sidecar: float


@slope(
    "router: a request by its tokens", "token", "us", ANSWER_TOKENS, MEAN_ANSWER_TOKENS
)
def router_time(tokens: int) -> float:
    """Return the processor time of the router."""
    return _uses()[tokens].router


@slope(
    "sidecar: a request by its tokens", "token", "us", ANSWER_TOKENS, MEAN_ANSWER_TOKENS
)
def sidecar_time(tokens: int) -> float:
    """Return the processor time of the sidecar."""
    return _uses()[tokens].sidecar


@slope("router: a request by its probes", "probe", "us", PROBED, PROBES_OF_A_REQUEST)
def router_time_probing(engines: int) -> float:
    """Return the processor time of a request of one token."""
    with _fleet(engines) as fleet:
        _send(fleet, 1, WARM_UP_REQUESTS)
        return _use(fleet, 1).router


def print_idle() -> None:
    """Print the share of a core that idle processes take."""
    with _fleet() as fleet:
        time.sleep(1)
        before = {name: _processor_s(fleet, name) for name in (ROUTER, SIDECAR)}
        time.sleep(IDLE_S)
        for name, began in before.items():
            share = (_processor_s(fleet, name) - began) / IDLE_S
            print(f"idle {name}: {share:.2%} of a core")


@functools.cache
def _uses() -> dict[int, Use]:
    with _fleet() as fleet:
        _send(fleet, ANSWER_TOKENS[0], WARM_UP_REQUESTS)
        return {tokens: _use(fleet, tokens) for tokens in ANSWER_TOKENS}


@contextmanager
def _fleet(engines: int = 1) -> Iterator[Fleet]:
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(
            Path(folder), engines=engines, engine_options=ENGINE_OPTIONS
        ) as fleet,
    ):
        yield fleet


def _use(fleet: Fleet, tokens: int) -> Use:
    router = _processor_s(fleet, ROUTER)
    sidecar = _processor_s(fleet, SIDECAR)
    _send(fleet, tokens, REQUESTS)
    return Use(
        (_processor_s(fleet, ROUTER) - router) / REQUESTS * 1e6,
        (_processor_s(fleet, SIDECAR) - sidecar) / REQUESTS * 1e6,
    )


def _send(fleet: Fleet, tokens: int, requests: int) -> None:
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
