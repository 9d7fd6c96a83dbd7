"""Types of target weights and of the roll-out plan."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.storage.revisions import Revision

TOKENS_PER_ERA = 2**20
# Name of the plan whose holder orders the weights of all models; no model has it.
ORDERS_PLAN = "agatehoist-orders"


@dataclass(frozen=True, slots=True)
class TargetWeights:
    """Hold the weights version that operators set as the target of a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the state of a model's roll-out as the node that runs it last wrote it.

    `changing` and `changed` hold values of `Endpoint.lifetime`. `token` is a fencing
    token that grows with each change of holder. `beat` counts the writes, so that a
    renewed plan differs from the one before. If `released` is set, another node may
    take the plan over at once. `idle_s` is the time in seconds between the holder's
    last order and the write. `era` is that of the store in which it was written.
    `orders_wait_s` is the time in seconds after the write in which orders of earlier
    holders may still arrive, or None if an earlier release wrote it.

    The plan `ORDERS_PLAN` is of no model: its holder orders the weights of all models.
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
    era: int = 0
    orders_wait_s: float | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Return what grows with each write of the plan, in all eras."""
        return (self.token, self.beat)


def first_token(era: int) -> int:
    """Return a fencing token above all those of earlier eras, which may be lost."""
    return era * TOKENS_PER_ERA + 1


@dataclass(frozen=True, slots=True)
class SeenPlan:
    """Hold a plan with its store revision and the epoch time at which it was read."""

    plan: Plan
    revision: Revision
    seen_at: float

    @property
    def is_copy(self) -> bool:
        """Return whether the store has it from an earlier era.

        The holder may have changed since, in writes that the store has lost.
        """
        return self.plan.era != self.revision.era


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Order an endpoint to load a weights version.

    The endpoint refuses unless it has had `expected_order_count` orders. It finishes
    the runs in progress first, or interrupts them if `cuts_runs` is set.
    """

    model: str
    version: int
    holder: str
    token: int
    expected_order_count: int
    cuts_runs: bool
