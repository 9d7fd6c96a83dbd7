"""Parsing of the configuration, endpoint entries and target weights."""

from __future__ import annotations

import math
from typing import Any

from agatehoist.core.document_reader import (
    MAX_SHOWN_CHARACTERS,
    Finding,
    MappingReader,
    describe,
    raise_findings,
)
from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.types import Endpoint
from agatehoist.http1.types import ConnectionLimits
from agatehoist.limits.types import Allotment, AllotmentUnit
from agatehoist.preview.types import Draft, KeyHolder
from agatehoist.routing.types import (
    Engines,
    KvStore,
    Organisation,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    WeightedService,
)
from agatehoist.weights.types import TargetWeights

READY = "ready"
DRAINING = "draining"
STATES = (READY, DRAINING)
# An endpoint's name is sent to it in a header.
MAX_ENDPOINT_NAME_CHARACTERS = 200


def read_configuration(spec: Any) -> RoutingTable:
    """Parse the platform's configuration object into a routing table.

    Raises InvalidDocumentError.
    """
    return read_draft(spec).table


def read_draft(spec: Any) -> Draft:
    """Parse the configuration object into a routing table and the lists behind it.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = MappingReader(spec, "", findings)
    routes = tuple(map(_read_route, reader.mappings("Routes")))
    routes_by_host: dict[str, tuple[Route, ...]] = {}
    for route in routes:
        routes_by_host[route.host] = (*routes_by_host.get(route.host, ()), route)
    service_readers = list(reader.mappings("Services"))
    services = tuple(map(_read_service, service_readers))
    key_holders = tuple(map(_read_key_holder, reader.mappings("Tenants")))
    table = RoutingTable(
        reader.integer("Version"),
        routes_by_host,
        {each.name: each for each in services},
        tuple(
            _read_kv_store(each) for each in service_readers if each.has("KvStoreAddr")
        ),
        {key: each.organisation for each in key_holders for key in each.keys},
        # Callers need a key if the configuration lists organisations.
        reader.has("Tenants"),
        _read_limits(reader),
    )
    raise_findings("configuration", findings)
    return Draft(table, routes, services, key_holders)


def read_endpoint(name: str, spec: Any) -> Endpoint:
    """Parse an endpoint entry.

    Raises InvalidDocumentError if the entry doesn't describe a usable endpoint.
    """
    findings: list[Finding] = []
    reader = MappingReader(spec, "", findings)
    if not _is_endpoint_name(name):
        findings.append(Finding("name", f"not a token in ASCII: {describe(name)}"))
    address = reader.address("Address")
    state = reader.text("State")
    if state not in STATES:
        reader.add_finding("State", f"unknown state: {describe(state)}")
    endpoint = Endpoint(
        name=name,
        service=reader.text("Service"),
        host=address.host,
        port=address.port,
        data_centre=reader.text("Zone"),
        slots=reader.integer("Slots"),
        leaving=state == DRAINING,
        started_ms=reader.integer("born", 0),
        versions_by_model={
            each.text("Name"): each.integer("Version")
            for each in reader.mappings("Models")
        },
        # The number of weights orders that the endpoint has accepted.
        order_count=reader.integer("SeqNo", 0),
        software=reader.text("Version"),
    )
    raise_findings(f"entry {name[:MAX_SHOWN_CHARACTERS]}", findings)
    return endpoint


def read_weights(spec: Any) -> TargetWeights:
    """Parse an object in which an operator has set the target weights of a model.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = MappingReader(spec, "", findings)
    target_weights = TargetWeights(reader.text("Model"), reader.integer("Version"))
    raise_findings("named weights", findings)
    return target_weights


def _is_endpoint_name(name: str) -> bool:
    return (
        0 < len(name) <= MAX_ENDPOINT_NAME_CHARACTERS
        and name.isascii()
        and name.isprintable()
        and " " not in name
    )


def _read_route(reader: MappingReader) -> Route:
    kind = reader.text("Kind")
    if kind not in list(RouteKind):
        reader.add_finding("Kind", f"unknown kind: {describe(kind)}")
        kind = RouteKind.NON_IDEMPOTENT
    return Route(
        name=reader.text("Name"),
        host=reader.text("Host").lower(),
        path_prefix=reader.text("PathPrefix"),
        kind=RouteKind(kind),
        services=_read_traffic_split(reader),
        timeout_s=reader.number("TimeoutMs") / MS_PER_S,
        objective_s=reader.number("TargetLatencyMs", 0) / MS_PER_S,
        gap_objective_s=reader.number("TargetGapMs", 0) / MS_PER_S,
        priority=reader.integer("Priority", 0),
        max_runs=max(1, reader.integer("MaxAttempts", 1)),
        public=reader.flag("Public"),
        sticky=reader.flag("Sticky"),
        resumable=reader.flag("Resumable"),
    )


def _read_traffic_split(reader: MappingReader) -> tuple[WeightedService, ...]:
    if not reader.has("TrafficSplit"):
        return (WeightedService(reader.text("Service"), 1.0),)
    return tuple(
        WeightedService(each.text("Service"), each.number("Weight"))
        for each in reader.mappings("TrafficSplit")
    )


def _read_service(reader: MappingReader) -> Service:
    engines = None
    if reader.has("Engine"):
        engine = reader.mapping("Engine")
        engines = Engines(
            tuple(each.text("Name") for each in engine.mappings("Models")),
            # Whether a run can be moved to another engine with its KV cache.
            engine.flag("Moves"),
            engine.integer("KvCapacity", 0),
            engine.number("LinkMbps", 0.0),
            engine.integer("Slots", 0),
            max(1, engine.integer("Stride", 1)),
            engine.integer("KvTokenBytes", 0),
        )
    return Service(reader.text("Name"), engines)


def _read_kv_store(reader: MappingReader) -> KvStore:
    address = reader.address("KvStoreAddr")
    return KvStore(
        address.host,
        address.port,
        reader.text("Zone", ""),
        reader.number("LinkMbps", 0.0),
    )


def _read_key_holder(reader: MappingReader) -> KeyHolder:
    priority = reader.integer("Priority") if reader.has("Priority") else None
    # An isolated organisation shares no cache with others.
    organisation = Organisation(
        reader.text("Name"), priority, reader.flag("Isolated"), _read_allotment(reader)
    )
    keys = tuple(each.encode() for each in reader.texts("ApiKeys"))
    return KeyHolder(organisation, keys)


def _read_allotment(reader: MappingReader) -> Allotment | None:
    rate_per_s = reader.number("RatePerS", 0)
    if not rate_per_s:
        return None
    unit = reader.text("Unit", AllotmentUnit.REQUESTS) or AllotmentUnit.REQUESTS
    if unit not in tuple(AllotmentUnit):
        reader.add_finding("Unit", f"unknown unit: {describe(unit)}")
        return None
    return Allotment(
        rate_per_s,
        reader.number("Burst", 0),
        AllotmentUnit(unit),
        reader.integer("UncachedTokens", 0),
    )


def _read_limits(reader: MappingReader) -> ConnectionLimits:
    if not reader.has("Limits"):
        return ConnectionLimits()
    limits = reader.mapping("Limits")
    return ConnectionLimits(
        limits.integer("MaxHeaderBytes"),
        limits.integer("MaxBodyBytes"),
        limits.number("HeaderTimeoutMs", math.inf) / MS_PER_S,
        limits.number("IdleTimeoutMs", math.inf) / MS_PER_S,
    )
