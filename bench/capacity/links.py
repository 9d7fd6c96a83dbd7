"""Slopes of the resident memory of open links, measured over loopback."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import anyio

from agatehoist.protocol.link import Link, open_link
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello
from bench.capacity.slopes import slope

LINK_COUNTS = (50, 100, 200, 300)
SIDECARS_PER_REGION = 300
ROUTERS_PER_REGION = 98
HELLO = Hello(PROTOCOL_VERSION, "bench", "bench", 0)


@slope("router: open links", "link", "KiB", LINK_COUNTS, SIDECARS_PER_REGION)
def router_links_kib(count: int) -> float:
    """Return how much the router's resident memory grows with so many links."""
    return _measure_in_new_process(count, "router")


@slope("sidecar: open links", "link", "KiB", LINK_COUNTS, ROUTERS_PER_REGION)
def sidecar_links_kib(count: int) -> float:
    """Return how much the sidecar's resident memory grows with so many links."""
    return _measure_in_new_process(count, "sidecar")


def _measure_in_new_process(count: int, role: str) -> float:
    # A new process has no freed memory that new links could reuse without growth.
    command = [sys.executable, "-m", "bench.capacity.links", str(count), role]
    output = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(output.stdout)


def _measure(count: int, role: str) -> float:
    command = [sys.executable, "-m", "bench.capacity.peer"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as peer:
        try:
            assert peer.stdout is not None
            port = int(peer.stdout.readline())
            measured_process = "self" if role == "router" else str(peer.pid)
            status = Path(f"/proc/{measured_process}/status")
            return anyio.run(_open_links, count, port, status)
        finally:
            peer.terminate()


async def _open_links(count: int, port: int, status: Path) -> float:
    links: list[Link] = []
    async with anyio.create_task_group() as task_group:
        links.append(await open_link("127.0.0.1", port, HELLO, task_group))
        before_kib = resident_kib(status)
        for _ in range(count):
            links.append(await open_link("127.0.0.1", port, HELLO, task_group))
        after_kib = resident_kib(status)
        task_group.cancel_scope.cancel()
    return float(after_kib - before_kib)


def resident_kib(status: Path) -> int:
    """Return the resident memory in KiB from a process's status file in /proc."""
    for line in status.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise LookupError("the process's status file has no VmRSS line")


if __name__ == "__main__":
    print(_measure(int(sys.argv[1]), sys.argv[2]))
