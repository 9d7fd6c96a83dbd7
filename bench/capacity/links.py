"""Slopes of open links, measured over loopback."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import anyio

from agatehoist.protocol.link import Link, open_link
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello
from bench.capacity.slopes import slope

LINKS = (50, 100, 200, 300)
RUNNERS_OF_A_REGION = 300
ROUTERS_OF_A_REGION = 98
HELLO = Hello(PROTOCOL_VERSION, "bench", "bench", 0)


@slope("router: open links", "link", "KiB", LINKS, RUNNERS_OF_A_REGION)
def links_memory(count: int) -> float:
    """Return how much the resident memory grows with so many links."""
    return _run_apart(count, "router")


@slope("sidecar: open links", "link", "KiB", LINKS, ROUTERS_OF_A_REGION)
def sessions_memory(count: int) -> float:
    """Return how much the peer's resident memory grows with so many links."""
    return _run_apart(count, "sidecar")


def _run_apart(count: int, role: str) -> float:
    # A new process has no freed memory that new links could take.
    command = [sys.executable, "-m", "bench.capacity.links", str(count), role]
    output = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(output.stdout)


def _measure(count: int, role: str) -> float:
    command = [sys.executable, "-m", "bench.capacity.peer"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as peer:
        try:
            assert peer.stdout is not None
            port = int(peer.stdout.readline())
            watched = "self" if role == "router" else str(peer.pid)
            status = Path(f"/proc/{watched}/status")
            return anyio.run(_open_links, count, port, status)
        finally:
            peer.terminate()


async def _open_links(count: int, port: int, status: Path) -> float:
    links: list[Link] = []
    async with anyio.create_task_group() as task_group:
        links.append(await open_link("127.0.0.1", port, HELLO, task_group))
        before = resident_kib(status)
        for _ in range(count):
            links.append(await open_link("127.0.0.1", port, HELLO, task_group))
        after = resident_kib(status)
        task_group.cancel_scope.cancel()
    return float(after - before)


def resident_kib(status: Path) -> int:
    """Return the resident memory of a process that the bench started."""
    for line in status.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise LookupError("no VmRSS")


if __name__ == "__main__":
    print(_measure(int(sys.argv[1]), sys.argv[2]))
