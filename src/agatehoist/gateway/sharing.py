"""Exchange of reports between gateways: their load and what was named lately."""

from __future__ import annotations

import functools
import hashlib
import socket
import time
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.load import changed_loads
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.node_reports import (
    MAX_DATAGRAM_BYTES,
    Naming,
    NodeReport,
    decode_report,
    encode_report,
)

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.gateway.state import GatewayState
    from agatehoist.protocol.node_reports import EndpointLoad

logger = get_logger("gateway")

# Changes within this time go into one report.
GATHER_S = 0.04
# A report tells all endpoints in use so often, as datagrams are lost.
REPEAT_S = 1.0
# All of a node's control may send and receive 7 KB a second.
MAX_BYTES_PER_S = 5000.0
# IP and UDP.
HEADER_BYTES = 28
# More would not get a whole report a second within the bound.
MAX_PEERS = 31


async def share_load(state: GatewayState) -> None:
    """Tell the peers what is handed out and hear it from them until cancelled."""
    inner = state.settings.inner
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind((inner.host, inner.port))
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_receive, state, sock)
            await _send(state, sock)


@functools.lru_cache(maxsize=1)
def choose_peers(own: Address, nodes: frozenset[Address]) -> tuple[Address, ...]:
    """Return those that get this node's reports; a few of many, the same each time."""
    others = sorted(
        nodes - {own},
        key=lambda each: hashlib.blake2b(f"{own}/{each}".encode()).digest(),
    )
    return tuple(others[:MAX_PEERS])


async def _send(state: GatewayState, sock: socket.socket) -> None:
    started_ms = int(time.time() * MS_PER_S)
    sequence = 0
    whole_at = 0.0
    told: dict[bytes, EndpointLoad] = {}
    while True:
        await state.load_changed.wait(REPEAT_S)
        loads = state.load.snapshot()
        now = state.clock.now()
        whole = now >= whole_at + REPEAT_S
        whole_at = now if whole else whole_at
        sequence += 1
        report = NodeReport(
            state.settings.node,
            started_ms,
            sequence,
            whole,
            loads if whole else changed_loads(told, loads),
            _namings(state) if whole else (),
        )
        told = loads
        data = encode_report(report)
        peers = choose_peers(state.settings.inner, state.nodes)
        for peer in peers:
            _send_quietly(sock, data, peer)
        sent = len(peers) * (len(data) + HEADER_BYTES)
        await anyio.sleep(max(GATHER_S, sent / MAX_BYTES_PER_S))


def _send_quietly(sock: socket.socket, data: bytes, peer: Address) -> None:
    try:
        sock.sendto(data, (peer.host, peer.port))
    except OSError as error:
        # The next report makes up for a lost one.
        logger.debug("report not sent", peer=str(peer), reason=str(error))


def _namings(state: GatewayState) -> tuple[Naming, ...]:
    now = state.clock.now()
    lately = state.weights.targets_seen_since(now - state.settings.weights_in_force_s)
    return tuple(
        Naming(weights.model, weights.version, round((now - at) * MS_PER_S))
        for weights, at in lately
    )


async def _receive(state: GatewayState, sock: socket.socket) -> None:
    # A process that was suspended reads what came in the meantime, so a report counts
    # as sent when nothing was there to be read.
    sent_from = state.clock.now()
    while True:
        try:
            data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except BlockingIOError:
            sent_from = state.clock.now()
            await anyio.wait_readable(sock)
            continue
        except OSError as error:
            logger.debug("report not received", reason=str(error))
            await anyio.sleep(GATHER_S)
            continue
        try:
            report = decode_report(data)
        except BadFrameError as error:
            logger.debug("report not understood", reason=str(error))
            continue
        if any(sender[0] == each.host for each in state.nodes):
            state.load.accept_report(report, state.clock.now())
            take_namings(state, report, sent_from)


def take_namings(state: GatewayState, report: NodeReport, sent_from: float) -> None:
    """Learn more exactly when weights were named."""
    for each in report.namings:
        seen_at = sent_from - each.age_ms / MS_PER_S
        state.weights.merge_target_time(each.model, each.version, seen_at)
