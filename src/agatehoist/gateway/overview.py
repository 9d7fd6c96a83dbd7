"""Text summary of the stored objects for operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from agatehoist.core.document_reader import describe
from agatehoist.errors import AgatehoistError
from agatehoist.fleet.types import Endpoint
from agatehoist.gateway.nodes import NODE_KIND
from agatehoist.gateway.plans import PLAN_KIND, read_plan
from agatehoist.routing.types import RoutingTable
from agatehoist.weights.types import ORDERS_PLAN, Plan, TargetWeights

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from agatehoist.gateway.types import Platform
    from agatehoist.storage.objects import Listing, ObjectStore

T = TypeVar("T")
MAX_NAME_SHOWN_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Overview:
    """Hold the stored objects, and an error for each that can't be parsed."""

    table: RoutingTable | None
    endpoints: tuple[Endpoint, ...]
    targets: tuple[TargetWeights, ...]
    plans: tuple[Plan, ...]
    nodes: tuple[str, ...]
    unreadable: tuple[str, ...]


async def read_overview(store: ObjectStore, platform: Platform) -> Overview:
    """Read the objects of all kinds from the store.

    Raises PlatformUnavailableError.
    """
    kinds = platform.kinds
    unreadable: list[str] = []
    tables = _convert_objects(
        await store.list(kinds.configuration), platform.read_configuration, unreadable
    )
    endpoints = _convert_objects(
        await store.list(kinds.endpoints), platform.read_endpoint, unreadable
    )
    targets = _convert_objects(
        await store.list(kinds.weights),
        lambda _name, spec: platform.read_weights(spec),
        unreadable,
    )
    plans = _convert_objects(
        await store.list(PLAN_KIND), lambda _name, spec: read_plan(spec), unreadable
    )
    nodes = tuple(_shown(each.name) for each in (await store.list(NODE_KIND)).values)
    table = next((each for each in tables if each is not None), None)
    return Overview(table, endpoints, targets, plans, nodes, tuple(unreadable))


def overview_lines(overview: Overview) -> Iterator[str]:
    """Yield the lines of text that show an overview."""
    table = overview.table
    version = table.version if table else "none"
    yield f"configuration  {version}"
    yield f"nodes          {' '.join(overview.nodes) or 'none'}"
    for plan in overview.plans:
        state = "released" if plan.released else f"held by {plan.holder}"
        if plan.model == ORDERS_PLAN:
            yield f"weights orders {state}"
        else:
            yield f"plan           {plan.model} to {plan.target}, {state}"
    for each in overview.targets:
        yield f"weights        {each.model} {each.version}"
    for endpoint in overview.endpoints:
        weights = " ".join(
            f"{model} {version}"
            for model, version in endpoint.versions_by_model.items()
        )
        leaving = "leaving" if endpoint.leaving else ""
        fields = (
            "endpoint      ",
            endpoint.lifetime,
            endpoint.service,
            weights,
            leaving,
        )
        yield " ".join(each for each in fields if each)
    for reason in overview.unreadable:
        yield f"not understood {reason}"


def _convert_objects(
    listing: Listing, convert: Callable[[str, object], T], unreadable: list[str]
) -> tuple[T, ...]:
    converted = []
    for value in listing.values:
        try:
            converted.append(convert(value.name, value.spec))
        except AgatehoistError as error:
            unreadable.append(f"{_shown(value.name)}: {error}")
    return tuple(converted)


def _shown(name: str) -> str:
    """Return the name of an object as operators see it, without control characters."""
    is_short = len(name) <= MAX_NAME_SHOWN_CHARACTERS
    return name if is_short and name.isprintable() else describe(name)
