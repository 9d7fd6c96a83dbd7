"""Exchange of UDP reports between gateways: load and recent target weights.

A report says how long ago its sender saw operators set target weights.
"""

from __future__ import annotations

import functools
import hashlib
import socket
import time
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.load import changed_loads
from agatehoist.gateway.allotments import share_allotments
from agatehoist.gateway.crash_evidence import send_evidence
from agatehoist.gateway.endpoint_rates import RatesSender
from agatehoist.gateway.endpoint_statements import send_notices
from agatehoist.gateway.model_endpoints import ModelEndpoints
from agatehoist.gateway.peer_datagrams import (
    DATAGRAM_HANDLERS,
    receive_datagrams,
    send_datagram,
)
from agatehoist.protocol.datagrams import (
    DATAGRAM_HEADER_BYTES,
    FIRST_EVENT_WAITS,
    NODE_REPORT,
)
from agatehoist.protocol.first_event_waits import decode_waits, encode_waits
from agatehoist.protocol.node_reports import (
    NodeReport,
    TargetWeightsAge,
    decode_report,
    encode_report,
)
from agatehoist.weights.view import UNKNOWN_TIME

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.gateway.state import GatewayState
    from agatehoist.protocol.node_reports import EndpointLoad
    from agatehoist.weights.types import TargetWeights

# Changes within this time are sent in one report.
BATCH_DELAY_S = 0.04
# A full report has all endpoints in use, since datagrams with changes may be lost.
FULL_REPORT_INTERVAL_S = 1.0
# Limit for the reports of an idle node; all control traffic of a node with 1.5 requests
# a second is limited to 7 KB/s in each direction.
MAX_BYTES_PER_S = 4000.0
# Each request allows this much more, as the load of a busy node changes more often.
BYTES_PER_REQUEST = 500.0
# Shorter waits don't change where a request may begin on replaced weights.
MIN_REPORTED_WAIT_S = 0.5
# Prompt parts in one report; more of them would leave too little space for the load.
MAX_READS = 30
# With more peers, reports would be older than a second under these limits.
MAX_PEERS = 31


async def exchange_peer_reports(state: GatewayState) -> None:
    """Send reports of this node to peers and receive theirs, until cancelled."""
    inner = state.settings.inner
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind((inner.host, inner.port))
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(receive_datagrams, state, sock)
            task_group.start_soon(send_evidence, state, sock)
            task_group.start_soon(send_notices, state, sock)
            task_group.start_soon(share_allotments, state, sock)
            await _send(state, sock)


@functools.lru_cache(maxsize=1)
def select_peers(own: Address, nodes: frozenset[Address]) -> tuple[Address, ...]:
    """Return the peers that get this node's reports, at most MAX_PEERS.

    Each node picks its own peers by hash, always the same ones for the same nodes.
    """
    others = sorted(
        nodes - {own},
        key=lambda each: hashlib.blake2b(f"{own}/{each}".encode()).digest(),
    )
    return tuple(others[:MAX_PEERS])


async def _send(state: GatewayState, sock: socket.socket) -> None:
    started_ms = int(time.time() * MS_PER_S)
    sequence = 0
    full_sent_at = 0.0
    reported_loads: dict[bytes, EndpointLoad] = {}
    requests_before = state.load.started_requests
    rates_sender = RatesSender(state)
    while True:
        await state.load_changed.wait(FULL_REPORT_INTERVAL_S)
        loads = state.load.snapshot()
        now = state.clock.now()
        is_full = now >= full_sent_at + FULL_REPORT_INTERVAL_S
        full_sent_at = now if is_full else full_sent_at
        sequence += 1
        report = NodeReport(
            state.settings.node,
            started_ms,
            sequence,
            is_full,
            loads if is_full else changed_loads(reported_loads, loads),
            target_ages(state) if is_full else (),
            state.parts.pop_unreported(MAX_READS),
        )
        reported_loads = loads
        datagrams = [encode_report(report)]
        if is_full and (waits_s_by_key := waits_to_report(state)):
            datagrams.append(encode_waits(waits_s_by_key))
        peers = select_peers(state.settings.inner, state.nodes)
        for data in datagrams:
            for peer in peers:
                # The next full report replaces a lost one.
                send_datagram(sock, data, peer)
        datagram_bytes = sum(len(each) + DATAGRAM_HEADER_BYTES for each in datagrams)
        sent_bytes = len(peers) * datagram_bytes
        if is_full:
            sent_bytes += rates_sender.send(sock)
        requests = state.load.started_requests
        await anyio.sleep(pause_after(sent_bytes, requests - requests_before))
        requests_before = requests


def pause_after(sent_bytes: int, new_requests: int) -> float:
    """Return how long to send nothing after a report, in seconds."""
    excess_bytes = sent_bytes - BYTES_PER_REQUEST * new_requests
    return max(BATCH_DELAY_S, excess_bytes / MAX_BYTES_PER_S)


def target_ages(state: GatewayState) -> tuple[TargetWeightsAge, ...]:
    """Return the targets that this node saw set, as long as they may be overdue."""
    now = state.clock.now()
    recent_since = now - state.settings.weights_in_force_s
    observed = sorted(
        state.weights.targets_seen_since(UNKNOWN_TIME),
        key=lambda target: target[1],
        reverse=True,
    )
    return tuple(
        TargetWeightsAge(weights.model, weights.version, round((now - at) * MS_PER_S))
        for weights, at in observed
        if at > recent_since or not _is_in_force(state, weights)
    )


def waits_to_report(state: GatewayState) -> dict[bytes, float]:
    """Return the waits at slow endpoints while any have replaced weights.

    A peer knows too little of an endpoint whose queue other nodes fill.
    """
    targets = state.weights.targets_by_model.values()
    if all(_is_in_force(state, each) for each in targets):
        return {}
    now = state.clock.now()
    return state.load.first_events.slow_endpoints(MIN_REPORTED_WAIT_S, now)


@DATAGRAM_HANDLERS.register(FIRST_EVENT_WAITS)
def receive_waits(state: GatewayState, data: bytes, _sent_after: float) -> None:
    """Take over the waits that a peer has measured.

    Raises BadFrameError.
    """
    state.load.first_events.note_peer_waits(decode_waits(data), state.clock.now())


def _is_in_force(state: GatewayState, weights: TargetWeights) -> bool:
    if not state.weights.is_in_force(weights):
        endpoints = ModelEndpoints(state, weights.model)
        state.weights.note_in_force(weights.model, endpoints.oldest_version())
    return state.weights.is_in_force(weights)


@DATAGRAM_HANDLERS.register(NODE_REPORT)
def receive_report(state: GatewayState, data: bytes, sent_after: float) -> None:
    """Take over the report of a peer.

    Raises BadFrameError.
    """
    report = decode_report(data)
    state.load.accept_report(report, state.clock.now())
    record_target_times(state, report, sent_after)
    _record_reads(state, report)


def _record_reads(state: GatewayState, report: NodeReport) -> None:
    now = state.clock.now()
    for each in report.reads:
        state.parts.note_peer_read(each)
        if each.saved:
            state.placement.saved_parts.note_saved(each.part, now)


def record_target_times(
    state: GatewayState, report: NodeReport, sent_after: float
) -> None:
    """Record when a peer saw targets being set, from the ages in its report."""
    for each in report.target_ages:
        seen_at = sent_after - each.age_ms / MS_PER_S
        state.weights.merge_target_time(each.model, each.version, seen_at)
