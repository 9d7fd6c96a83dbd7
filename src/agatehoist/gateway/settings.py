"""Settings of a gateway."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.address import Address


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bound the repeats that all nodes together may send to a service.

    Within any window the repeats stay under the ratio of the requests plus the slack.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold what a gateway is told at its start; times are in seconds.

    Seeds are the inner addresses of a few nodes, some of which may be gone.
    """

    node: str
    data_centre: str
    front: Address
    ready: Address
    inner: Address
    store: Address
    seeds: tuple[Address, ...]
    stop_grace_s: float
    order_turn_s: float
    weights_in_force_s: float
    retries: RetryBounds
