"""Parsing of the configuration, endpoint entries and named weights."""

from __future__ import annotations

import math
from typing import Any

from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.types import Endpoint
from agatehoist.http1.types import ConnectionLimits
from agatehoist.platform.document_reader import Finding, Reader, raise_findings
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


def read_configuration(spec: Any) -> RoutingTable:
    """Parse a configuration into a routing table.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = Reader(spec, "", findings)
    routes_by_host: dict[str, tuple[Route, ...]] = {}
    for each in reader.parts("Routes"):
        route = _read_route(each)
        routes_by_host[route.host] = (*routes_by_host.get(route.host, ()), route)
    services = list(reader.parts("Services"))
    organisations = _read_organisations(reader)
    table = RoutingTable(
        reader.count("Version"),
        routes_by_host,
        {each.name: each for each in map(_read_service, services)},
        tuple(_read_kv_store(each) for each in services if each.has("KvStoreAddr")),
        organisations,
        reader.has("Tenants"),
        _read_limits(reader),
    )
    raise_findings("configuration", findings)
    return table


def read_endpoint(name: str, spec: Any) -> Endpoint:
    """Parse an endpoint entry.

    Raises InvalidDocumentError if the entry doesn't describe a usable endpoint.
    """
    findings: list[Finding] = []
    reader = Reader(spec, "", findings)
    host, port = reader.address("Address")
    state = reader.text("State")
    if state not in STATES:
        findings.append(Finding("State", f"unknown state {state!r}"))
    endpoint = Endpoint(
        name=name,
        service=reader.text("Service"),
        host=host,
        port=port,
        data_centre=reader.text("Zone"),
        slots=reader.count("Slots"),
        leaving=state == DRAINING,
        started_ms=reader.count("born", 0),
        versions_by_model={
            each.text("Name"): each.count("Version") for each in reader.parts("Models")
        },
        order_count=reader.count("SeqNo", 0),
    )
    raise_findings(f"entry {name}", findings)
    return endpoint


def read_weights(spec: Any) -> TargetWeights:
    """Parse an object in which an operator has named weights.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = Reader(spec, "", findings)
    named_weights = TargetWeights(reader.text("Model"), reader.count("Version"))
    raise_findings("named weights", findings)
    return named_weights


def _read_route(reader: Reader) -> Route:
    kind = reader.text("Kind")
    if kind not in list(RouteKind):
        reader.findings.append(Finding(f"{reader.place}Kind", f"unknown kind {kind!r}"))
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
        priority=reader.count("Priority", 0),
        max_runs=max(1, reader.count("MaxAttempts", 1)),
        public=reader.flag("Public"),
        sticky=reader.flag("Sticky"),
        resumable=reader.flag("Resumable"),
    )


def _read_traffic_split(reader: Reader) -> tuple[WeightedService, ...]:
    if not reader.has("TrafficSplit"):
        return (WeightedService(reader.text("Service"), 1.0),)
    return tuple(
        WeightedService(each.text("Service"), each.number("Weight"))
        for each in reader.parts("TrafficSplit")
    )


def _read_service(reader: Reader) -> Service:
    engines = None
    if reader.has("Engine"):
        engine = reader.part("Engine")
        engines = Engines(
            tuple(each.text("Name") for each in engine.parts("Models")),
            engine.flag("Moves"),
        )
    return Service(reader.text("Name"), engines)


def _read_kv_store(reader: Reader) -> KvStore:
    host, port = reader.address("KvStoreAddr")
    return KvStore(host, port, reader.text("Zone", ""))


def _read_organisations(reader: Reader) -> dict[bytes, Organisation]:
    organisations_by_key = {}
    for each in reader.parts("Tenants"):
        priority = each.count("Priority") if each.has("Priority") else None
        organisation = Organisation(each.text("Name"), priority, each.flag("Isolated"))
        for key in each.texts("ApiKeys"):
            organisations_by_key[key.encode()] = organisation
    return organisations_by_key


def _read_limits(reader: Reader) -> ConnectionLimits:
    if not reader.has("Limits"):
        return ConnectionLimits()
    limits = reader.part("Limits")
    return ConnectionLimits(
        limits.count("MaxHeaderBytes"),
        limits.count("MaxBodyBytes"),
        limits.number("HeaderTimeoutMs", math.inf) / MS_PER_S,
        limits.number("IdleTimeoutMs", math.inf) / MS_PER_S,
    )
