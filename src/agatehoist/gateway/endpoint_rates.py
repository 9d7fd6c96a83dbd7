"""Exchange of the measured rates of endpoints with other gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.units import MS_PER_S
from agatehoist.gateway.peer_datagrams import DATAGRAM_HANDLERS, send_to_some_peers
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.datagrams import DATAGRAM_HEADER_BYTES, ENDPOINT_RATES
from agatehoist.protocol.endpoint_rates import RatesReport, decode_rates, encode_rates

if TYPE_CHECKING:
    import socket

    from agatehoist.gateway.state import GatewayState

logger = get_logger("gateway")

# Peers that get the measured rates with a full report. Each report has all recent
# samples of its sender, so that a peer needs to hear of it only every few seconds.
RATES_PEERS = 3
LOG_INTERVAL_S = 60.0
# Endpoints in one log line, the slowest first.
MAX_LOGGED_ENDPOINTS = 32


class RatesSender:
    """Send the measured rates to a few peers, and log all known ones at times."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._next_log_at = state.clock.now() + LOG_INTERVAL_S

    def send(self, sock: socket.socket) -> int:
        """Send a datagram if there is news; return the number of bytes sent."""
        state = self._state
        report = rates_to_report(state)
        if report is None:
            return 0
        self._log()
        data = encode_rates(report)
        send_to_some_peers(state, sock, data, RATES_PEERS)
        count = min(RATES_PEERS, len(state.nodes - {state.settings.inner}))
        return count * (len(data) + DATAGRAM_HEADER_BYTES)

    def _log(self) -> None:
        now = self._state.clock.now()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        rates_by_name = logged_rates(self._state, now)
        logger.info("endpoint rates", rates=rates_by_name)


def logged_rates(state: GatewayState, now: float) -> dict[str, dict[str, float]]:
    """Return the rates of the measured endpoints by name, the slowest first."""
    capacity = state.load.capacity
    rates_by_name = {
        endpoint.name: capacity.rates(endpoint.lifetime, now)
        for endpoint in state.fleet.by_name.values()
        if capacity.is_measured(endpoint.lifetime)
    }
    slowest = sorted(
        rates_by_name.items(), key=lambda item: item[1].prefill_tokens_per_s
    )
    return {
        name: {
            "tokens_per_s": round(rates.prefill_tokens_per_s),
            "step_ms": round(rates.step_s * MS_PER_S, 1),
            "noise": round(rates.noise, 2),
        }
        for name, rates in slowest[:MAX_LOGGED_ENDPOINTS]
    }


def rates_to_report(state: GatewayState) -> RatesReport | None:
    """Return what this node has measured lately, or None if that is nothing."""
    samples_by_key = state.load.capacity.to_report(state.clock.now())
    if not samples_by_key:
        return None
    return RatesReport(state.settings.node, state.load.run_sizes, samples_by_key)


@DATAGRAM_HANDLERS.register(ENDPOINT_RATES)
def receive_rates(state: GatewayState, data: bytes, _sent_after: float) -> None:
    """Take over the rates that a peer has measured.

    Raises BadFrameError.
    """
    report = decode_rates(data)
    now = state.clock.now()
    state.load.capacity.accept_report(report.node, report.samples_by_key, now)
    state.load.accept_run_sizes(report.node, report.run_sizes)
