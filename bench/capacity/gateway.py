"""Slopes of the gateway's state, its choice of an endpoint and its load reports."""

from __future__ import annotations

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.fleet.load import Load
from agatehoist.fleet.types import Endpoint
from agatehoist.fleet.view import EndpointsView
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Candidate, Offer, PlacementRequest
from agatehoist.platform.documents import read_configuration
from agatehoist.protocol.node_reports import (
    EndpointLoad,
    NodeReport,
    decode_report,
    encode_report,
    endpoint_key,
)
from bench.capacity.slopes import allocated_bytes, processor_us, slope

TARGET_ENDPOINTS, TARGET_ENDPOINTS_PER_REGION = 1200, 300
TARGET_ORGANISATIONS, TARGET_ROUTES = 49_000, 500


def make_endpoint(number: int) -> Endpoint:
    """Return an endpoint with the fields that the platform lists."""
    return Endpoint(
        f"i-{number:010x}",
        "songs",
        f"10.{number % 4}.{number // 250}.{number % 250}",
        8080,
        f"zone-{number % 14}",
        64,
        False,
        1_784_186_469_033 + number,  # Start in epoch milliseconds.
        {"deti65cef3": 3},
    )


@slope("gateway_endpoint", "endpoint", "B", (150, 300, 600, 1200), TARGET_ENDPOINTS)
def endpoint_bytes(count: int) -> float:
    """Return the memory of the view of so many endpoints."""

    def build() -> EndpointsView:
        view = EndpointsView()
        for number in range(count):
            view.put(make_endpoint(number))
        return view

    return allocated_bytes(build)


@slope(
    "gateway_key", "organisation", "B", (1000, 2000, 4000, 8000), TARGET_ORGANISATIONS
)
def organisation_bytes(count: int) -> float:
    """Return the memory of so many organisations with one key each."""
    spec = {
        "Version": 1,
        "Tenants": [
            {"Name": f"tenant-{n:06d}", "ApiKeys": [f"{n:020d}"]} for n in range(count)
        ],
    }
    return allocated_bytes(lambda: read_configuration(spec))


@slope("gateway_route", "route", "B", (50, 100, 200, 400), TARGET_ROUTES)
def route_bytes(count: int) -> float:
    """Return the memory of so many routes."""
    spec = {
        "Version": 1,
        "Routes": [
            {
                "Name": f"r-{n:06d}",
                "Host": f"h{n:05d}.example",
                "PathPrefix": f"/p{n:05d}/",
                "Kind": "stream",
                "TimeoutMs": 6000,
                "Service": "songs",
            }
            for n in range(count)
        ],
    }
    return allocated_bytes(lambda: read_configuration(spec))


@slope(
    "gateway_choice", "endpoint", "us", (40, 75, 150, 300), TARGET_ENDPOINTS_PER_REGION
)
def choice_us(count: int) -> float:
    """Return the processor time of ordering the offers of so many endpoints."""
    load = Load()
    endpoints = [make_endpoint(number) for number in range(count)]
    levels = (PrefixLevel(b"a" * 16, 2520), PrefixLevel(b"b" * 16, 6300))
    placement_request = PlacementRequest(levels, 9190, Priority.SHORT, "zone-1")
    policy = POLICIES["home_bounded"]()

    def choose() -> None:
        offers = [
            Offer(
                Candidate(each.name, each.data_centre),
                EndpointIdentity(each.name, each.lifetime, "3"),
                0,
                load.wait_s(each.lifetime, 1.0),
            )
            for each in endpoints
        ]
        policy.choose(placement_request, offers)

    return processor_us(choose)


@slope("gateway_report", "endpoint", "B", (4, 8, 16, 24), 24)
def report_bytes(count: int) -> float:
    """Return the encoded size of a load report of so many busy endpoints."""
    return float(len(encode_report(_make_report(count))))


@slope("gateway_report_time", "endpoint", "us", (4, 8, 16, 24), 24)
def report_us(count: int) -> float:
    """Return the processor time of decoding a load report."""
    data = encode_report(_make_report(count))
    return processor_us(lambda: decode_report(data))


def _make_report(count: int) -> NodeReport:
    loads = {
        endpoint_key(make_endpoint(number).lifetime): EndpointLoad(5, 9000)
        for number in range(count)
    }
    return NodeReport("front-cariboo-1", 1_784_186_469_033, 1000, True, loads)
