"""Measured costs of sending a request to another data centre."""

from __future__ import annotations

from agatehoist.admission.rates import DecayingRatio
from agatehoist.core.units import BYTES_PER_MB

# Assumed until requests have been measured; the first measured one outweighs it.
DEFAULT_EXCHANGE_BYTES = 10_000.0
DEFAULT_RUN_S = 0.1
INITIAL_WEIGHT = 0.5
# Round trip to a data centre to which no connection has been opened.
DEFAULT_DELAY_S = 0.001
# A time to connect includes delays of the two processes, so the least ones count; a
# path that has become longer is followed slowly.
RISE_WEIGHT = 0.05


class ServiceCosts:
    """Learn how many bytes a request of a service takes, and how long it runs."""

    def __init__(self) -> None:
        self._bytes = DecayingRatio(DEFAULT_EXCHANGE_BYTES, INITIAL_WEIGHT)
        self._run_s = DecayingRatio(DEFAULT_RUN_S, INITIAL_WEIGHT)

    @property
    def exchange_bytes(self) -> float:
        """Return the bytes of a body and its answer."""
        return self._bytes.value

    @property
    def run_s(self) -> float:
        """Return how long an endpoint takes for a request that doesn't wait."""
        return self._run_s.value

    def note_bytes(self, exchange_bytes: int) -> None:
        """Add the bytes of a body and its answer."""
        self._bytes.add(exchange_bytes, 1)

    def note_run(self, run_s: float) -> None:
        """Add the time of a request that found its endpoint with room."""
        self._run_s.add(run_s, 1)

    def wait_s(self, runs: int, slots: int) -> float:
        """Return how long a request waits at an endpoint, 0 with unknown slots."""
        if slots <= 0:
            return 0.0
        return max(0, runs + 1 - slots) / slots * self.run_s

    def traffic_s(self, wait_s_per_mb: float) -> float:
        """Return the cost of the traffic of a request between data centres."""
        return wait_s_per_mb * self.exchange_bytes / BYTES_PER_MB


class DataCentreDelays:
    """Learn the round trip to each data centre from the times to connect."""

    def __init__(self) -> None:
        self._connect_s_by_data_centre: dict[str, float] = {}

    def note_connect(self, data_centre: str, connect_s: float) -> None:
        """Add the time that a new connection took."""
        known_s = self._connect_s_by_data_centre.get(data_centre, connect_s)
        weight = RISE_WEIGHT if connect_s > known_s else 1.0
        known_s += weight * (connect_s - known_s)
        self._connect_s_by_data_centre[data_centre] = known_s

    def delay_s(self, own: str, other: str) -> float:
        """Return by how much a round trip to another data centre takes longer."""
        if own == other:
            return 0.0
        own_s = self._connect_s_by_data_centre.get(own)
        other_s = self._connect_s_by_data_centre.get(other)
        if own_s is None or other_s is None:
            return DEFAULT_DELAY_S
        return max(0.0, other_s - own_s)
