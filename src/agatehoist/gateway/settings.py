"""Settings of a gateway."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.address import Address
from agatehoist.limits.types import AllotmentBounds


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Limit the retries that all nodes together may send to a service.

    In any window, retries stay below ratio * requests + slack; the slack is a number of
    retries.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Hold what the machine allows a process; 0 stands for an unknown limit."""

    memory_mb: float = 0.0
    max_descriptors: int = 0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Choose how requests are placed; both ways need figures of the engines.

    With `by_finish`, prompts go where their answer ends soonest, if the configuration
    states the memory and the stride of the engines. With `spills`, a request leaves its
    data centre only for less wait. A megabyte sent between data centres costs as much
    as `wait_s_per_mb` of wait.
    """

    # With reports up to 0.8 s old, shared parts are prefilled again more often.
    by_finish: bool = False
    spills: bool = False
    # A long prompt of 40 KB then costs 0.04 ms, so that its wait decides. KV cache of
    # 6,300 tokens, 800 MB, costs more than the slowest engine takes to compute it.
    wait_s_per_mb: float = 0.001


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold the settings of one gateway process; times are in seconds.

    Callers connect to `front`, readiness checks to `ready` and other nodes to `inner`.
    Seeds are the inner addresses of a few nodes, some of which may be gone. Weights
    orders of two nodes for one model are at least `order_turn_s` apart. Once new target
    weights have been set for `weights_in_force_s`, no request may begin on older ones.
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
    allotments: AllotmentBounds = AllotmentBounds()
    machine: MachineLimits = MachineLimits()
    placement: PlacementSettings = PlacementSettings()
