"""Types of named weights and of the plan by which endpoints take them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NamedWeights:
    """Name the weights version that a model should have."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the roll-out of a model's weights, as its holder wrote it last.

    Endpoints are named by their lifetime. Idle is for how long the holder had given
    no order when it wrote, in seconds.
    """

    model: str
    holder: str
    token: int
    target: int
    beat: int
    changing: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    released: bool = False
    idle_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SeenPlan:
    """Hold a plan with its revision and the epoch time at which it was seen."""

    plan: Plan
    revision: int
    seen_at: float


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Tell an endpoint to take a weights version, if it has had so many orders.

    The order waits for the runs that have begun, or cuts them.
    """

    model: str
    version: int
    holder: str
    token: int
    expected_order_count: int
    cuts_runs: bool
