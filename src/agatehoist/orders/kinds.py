"""Kinds of order and the choice of the next one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Protocol, TypeVar

from agatehoist.core.registry import Registry
from agatehoist.orders.types import Role

if TYPE_CHECKING:
    from typing import Self

    from agatehoist.orders.types import Holding


class Order(Protocol):
    """Name one part of what an endpoint should hold.

    An order that interrupts is given only after a drain.
    """

    interrupts: ClassVar[bool]

    @classmethod
    def towards(cls, holding: Holding) -> Self:
        """Return the order for this part of the holding."""

    def is_met(self, holding: Holding) -> bool:
        """Say whether the holding has what the order asks for."""


ORDER_KINDS: Registry[type[Order]] = Registry("order")
NAMES_BY_KIND: dict[type, str] = {}

OrderKind = TypeVar("OrderKind", bound=type)


class order:  # noqa: N801
    """Register a class as the order of the given name; earlier ones go first."""

    def __init__(self, name: str) -> None:
        self.name = name

    def __call__(self, cls: OrderKind) -> OrderKind:
        ORDER_KINDS.register(self.name)(cls)
        NAMES_BY_KIND[cls] = self.name
        return cls


@order("load_weights")
@dataclass(frozen=True, slots=True)
class LoadWeights:
    """Load one version of a model's weights."""

    interrupts: ClassVar[bool] = True

    model: str
    weights_version: str

    @classmethod
    def towards(cls, holding: Holding) -> LoadWeights:
        """Return the order for the holding's weights."""
        return cls(holding.model, holding.weights_version)

    def is_met(self, holding: Holding) -> bool:
        """Say whether the holding has these weights."""
        return LoadWeights.towards(holding) == self


@order("set_adapters")
@dataclass(frozen=True, slots=True)
class SetAdapters:
    """Load these adapters and drop all others."""

    interrupts: ClassVar[bool] = False

    adapters: tuple[str, ...]

    @classmethod
    def towards(cls, holding: Holding) -> SetAdapters:
        """Return the order for the holding's adapters."""
        return cls(holding.adapters)

    def is_met(self, holding: Holding) -> bool:
        """Say whether the holding has just these adapters."""
        return set(holding.adapters) == set(self.adapters)


@order("set_role")
@dataclass(frozen=True, slots=True)
class SetRole:
    """Give the engine a role."""

    interrupts: ClassVar[bool] = True

    role: Role

    @classmethod
    def towards(cls, holding: Holding) -> SetRole:
        """Return the order for the holding's role."""
        return cls(holding.role)

    def is_met(self, holding: Holding) -> bool:
        """Say whether the holding has this role."""
        return holding.role is self.role


def next_order(wanted: Holding, held: Holding) -> Order | None:
    """Return the first order that isn't met yet, or None."""
    for name in ORDER_KINDS:
        order = ORDER_KINDS[name].towards(wanted)
        if not order.is_met(held):
            return order
    return None
