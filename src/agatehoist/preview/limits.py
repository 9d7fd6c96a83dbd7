"""Checks for limits and figures that contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.limits.types import AllotmentUnit
from agatehoist.preview.types import CHECKS, Place, PlacedFinding, Section, Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.limits.types import Allotment
    from agatehoist.preview.types import Draft
    from agatehoist.routing.types import Engines


@CHECKS.register("objectives")
def find_late_objectives(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each objective over the time limit of its route."""
    for route in draft.routes:
        for field in ("objective_s", "gap_objective_s"):
            value = getattr(route, field)
            if value > route.timeout_s:
                place = Place(Section.ROUTES, route.name, field)
                text = f"{value:g} s is over the route's limit of {route.timeout_s:g} s"
                yield PlacedFinding(Severity.WARNING, place, text)


@CHECKS.register("allotments")
def find_odd_allotments(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each allotment whose figures don't fit together."""
    for holder in draft.key_holders:
        organisation = holder.organisation
        if organisation.allotment is not None:
            for field, text in _allotment_faults(organisation.allotment):
                place = Place(Section.ORGANISATIONS, organisation.name, field)
                yield PlacedFinding(Severity.WARNING, place, text)


@CHECKS.register("connection limits")
def find_odd_connection_limits(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each limit on headers over the one on the whole."""
    limits = draft.table.limits
    if limits.max_header_bytes > limits.max_body_bytes:
        place = Place(Section.LIMITS, field="max_header_bytes")
        text = f"over the limit of {limits.max_body_bytes} bytes on bodies"
        yield PlacedFinding(Severity.WARNING, place, text)
    if limits.header_timeout_s > limits.idle_timeout_s:
        place = Place(Section.LIMITS, field="header_timeout_s")
        text = f"over the idle time-out of {limits.idle_timeout_s:g} s"
        yield PlacedFinding(Severity.WARNING, place, text)


@CHECKS.register("engine figures")
def find_odd_engine_figures(draft: Draft) -> Iterator[PlacedFinding]:
    """Yield a warning for each figure of engines that another one contradicts."""
    for service in draft.services:
        if service.engines is not None:
            for field, text in _engine_faults(service.engines):
                place = Place(Section.SERVICES, service.name, field)
                yield PlacedFinding(Severity.WARNING, place, text)


def _allotment_faults(allotment: Allotment) -> Iterator[tuple[str, str]]:
    counts_tokens = allotment.unit is AllotmentUnit.TOKENS
    # The configuration states no other size of a request than this one.
    request = allotment.uncounted_tokens if counts_tokens else 1
    if not allotment.burst:
        yield "burst", "a rate without burst: gateways use the least burst"
    elif allotment.burst < request:
        text = f"{allotment.burst:g} is below one request of {request}"
        yield "burst", text
    if counts_tokens and not allotment.uncounted_tokens:
        yield "uncounted_tokens", "0: requests that state no tokens are free"


def _engine_faults(engines: Engines) -> Iterator[tuple[str, str]]:
    memory = engines.memory_tokens
    if engines.stride > 1 and not memory:
        yield "memory_tokens", "0, so that the stride has no effect"
    if memory and engines.stride > memory:
        yield "stride", f"over the memory of {memory} tokens"
    if memory and engines.slots > memory:
        yield "slots", f"more runs than the memory has tokens ({memory})"
    if engines.token_bytes and not memory:
        yield "token_bytes", "given without the memory in tokens"
