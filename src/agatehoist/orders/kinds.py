"""Kinds of order and the selection of the next one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Protocol, TypeVar

from agatehoist.core.registry import Registry
from agatehoist.orders.types import Role

if TYPE_CHECKING:
    from typing import Self

    from agatehoist.orders.types import Holding


class Order(Protocol):
    """Request one part of an endpoint's desired state.

    An order that interrupts makes the endpoint stop serving while it is carried out; it
    is sent only once the work in flight has been drained.
    """

    interrupts: ClassVar[bool]

    @classmethod
    def from_holding(cls, holding: Holding) -> Self:
        """Return the order that brings about this part of the holding."""

    def is_met(self, holding: Holding) -> bool:
        """Return whether the holding already has what the order requests."""


ORDER_CLASSES: Registry[type[Order]] = Registry("order")
NAMES_BY_ORDER_CLASS: dict[type, str] = {}

# The type of a class that defines an order.
OrderKind = TypeVar("OrderKind", bound=type)


class register_order:  # noqa: N801
    """Register a class as the order of the given name.

    Orders are sent in the sequence in which their classes are registered.
    """

    def __init__(self, name: str) -> None:
        self.name = name

    def __call__(self, cls: OrderKind) -> OrderKind:
        ORDER_CLASSES.register(self.name)(cls)
        NAMES_BY_ORDER_CLASS[cls] = self.name
        return cls


@register_order("load_weights")
@dataclass(frozen=True, slots=True)
class LoadWeights:
    """Load one weights version of a model."""

    interrupts: ClassVar[bool] = True

    model: str
    weights_version: str

    @classmethod
    def from_holding(cls, holding: Holding) -> LoadWeights:
        """Return the order for the holding's weights."""
        return cls(holding.model, holding.weights_version)

    def is_met(self, holding: Holding) -> bool:
        """Return whether the holding has these weights."""
        return LoadWeights.from_holding(holding) == self


@register_order("set_adapters")
@dataclass(frozen=True, slots=True)
class SetAdapters:
    """Load these adapters and unload all others."""

    interrupts: ClassVar[bool] = False

    adapters: tuple[str, ...]

    @classmethod
    def from_holding(cls, holding: Holding) -> SetAdapters:
        """Return the order for the holding's adapters."""
        return cls(holding.adapters)

    def is_met(self, holding: Holding) -> bool:
        """Return whether the holding has exactly these adapters."""
        return set(holding.adapters) == set(self.adapters)


@register_order("set_role")
@dataclass(frozen=True, slots=True)
class SetRole:
    """Set the role of the engine."""

    interrupts: ClassVar[bool] = True

    role: Role

    @classmethod
    def from_holding(cls, holding: Holding) -> SetRole:
        """Return the order for the holding's role."""
        return cls(holding.role)

    def is_met(self, holding: Holding) -> bool:
        """Return whether the holding has this role."""
        return holding.role is self.role


def next_order(wanted: Holding, current: Holding) -> Order | None:
    """Return the first order still needed to reach the wanted state, or None."""
    for name in ORDER_CLASSES:
        order = ORDER_CLASSES[name].from_holding(wanted)
        if not order.is_met(current):
            return order
    return None
