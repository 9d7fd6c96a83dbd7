"""Tests of the soak's invariants on planned stops."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from soak.stop_invariants import _check_durations, _check_requests_in_stops
from soak.types import (
    Arrival,
    ConfigurationChange,
    EndedRun,
    EndpointRecords,
    GatewayRecords,
    Period,
    RequestResult,
    SentRequest,
    SoakRecord,
)
from standins.users_platform.endpoint import Ending, RunEnd

SIGTERM_AT = 10.0
STOP = Period("g", SIGTERM_AT, 17.5)
CHANGES = (ConfigurationChange(1, 0.0, 6.0, 15.0),)


def make_cut(
    sent_s: float, ended_s: float, status: int = 200, route: str = "trace"
) -> RequestResult:
    """Return a request whose connection ends early, by its times after the SIGTERM."""
    sent = SentRequest("r1", route, 1, "g", SIGTERM_AT + sent_s, 0.0)
    return RequestResult(sent, status, b"", False, SIGTERM_AT + ended_s)


def make_endpoint(
    run_ended_s: float | None = None,
    ending: Ending = Ending.CALLER_GONE,
    **faults: tuple[Period, ...],
) -> EndpointRecords:
    """Return the records of an endpoint that got the request, by the end of its run."""
    runs: tuple[EndedRun, ...] = ()
    if run_ended_s is not None:
        end = RunEnd("r1", ending, "", SIGTERM_AT + run_ended_s)
        runs = (EndedRun("e", end),)
    arrivals = (Arrival("e", "r1", SIGTERM_AT),)
    return EndpointRecords(arrivals=arrivals, ended_runs=runs, **faults)


def period(subject: str, began_s: float, ended_s: float) -> tuple[Period]:
    """Return a period by its times after the SIGTERM."""
    return (Period(subject, SIGTERM_AT + began_s, SIGTERM_AT + ended_s),)


class CutRequestTests(unittest.TestCase):
    # The request, what its endpoint recorded, whether it is lost by the rules.
    @parameterized.expand(
        [
            ("at_work_at_the_end", make_cut(2.9, 7.2), make_endpoint(7.2), False),
            ("never_ended", make_cut(2.9, 7.2), make_endpoint(), False),
            ("sent_late", make_cut(3.1, 7.2), make_endpoint(7.2), True),
            (
                "finished_by_its_endpoint",
                make_cut(2.9, 7.2),
                make_endpoint(6.6, Ending.WHOLE),
                True,
            ),
            (
                "finished_in_the_last_sixth",
                make_cut(2.9, 7.2),
                make_endpoint(6.7, Ending.WHOLE),
                False,
            ),
            ("cut_before_the_last_sixth", make_cut(2.9, 6.6), make_endpoint(7.2), True),
            ("sent_before_the_stop", make_cut(-5.0, 4.0), make_endpoint(4.0), True),
            ("ended_before_the_stop", make_cut(-5.0, -0.1), make_endpoint(), False),
            ("long_after_the_grace", make_cut(2.0, 9.1), make_endpoint(5.0), False),
            ("just_after_the_grace", make_cut(2.0, 8.9), make_endpoint(5.0), True),
            (
                "broken_off_by_its_endpoint",
                make_cut(3.1, 5.0),
                make_endpoint(5.0, Ending.BROKEN_OFF),
                False,
            ),
            (
                "crash_of_its_endpoint_before",
                make_cut(3.1, 5.0),
                make_endpoint(path_faults=period("e", 0.2, 0.2)),
                False,
            ),
            (
                "crash_of_its_endpoint_long_before",
                make_cut(3.1, 5.0),
                make_endpoint(path_faults=period("e", 0.0, 0.0)),
                True,
            ),
            (
                "crash_of_another_endpoint",
                make_cut(3.1, 5.0),
                make_endpoint(path_faults=period("f", 0.2, 0.2)),
                True,
            ),
            (
                "silent_endpoint",
                make_cut(3.1, 5.0),
                make_endpoint(silences=period("e", 3.0, 6.0)),
                True,
            ),
            (
                "end_held_back_by_a_silence",
                make_cut(2.9, 7.2),
                make_endpoint(6.6, Ending.WHOLE, silences=period("e", 6.0, 6.8)),
                False,
            ),
            (
                "timeout_of_the_route",
                make_cut(-8.0, 7.2),
                make_endpoint(5.0),
                False,
            ),
            (
                "timeout_of_other_routes_only",
                make_cut(-2.0, 7.2),
                make_endpoint(5.0, Ending.WHOLE),
                True,
            ),
            ("unread", make_cut(3.1, 3.2, 0), EndpointRecords(), False),
            ("read", make_cut(3.1, 3.4, 0), EndpointRecords(), True),
            ("read_to_the_end", make_cut(2.9, 7.2, 0), EndpointRecords(), True),
        ]
    )
    def test_cut_requests_are_lost_as_the_rules_say(
        self,
        _name: str,
        result: RequestResult,
        endpoints: EndpointRecords,
        is_lost: bool,
    ) -> None:
        gateways = GatewayRecords(stops=(STOP,))
        record = SoakRecord([result], ["r1"], CHANGES, b"", (), endpoints, gateways)
        self.assertEqual(len(list(_check_requests_in_stops(record))), is_lost)

    # Troubles of the gateway beside a request that would be lost without them.
    @parameterized.expand(
        [
            ("suspended", GatewayRecords((), (), (STOP,), period("g", 0.2, 1)), False),
            ("others", GatewayRecords((), (), (STOP,), period("h", 0.2, 1)), True),
            ("long_before", GatewayRecords((), (), (STOP,), period("g", -1, 0)), True),
            ("killed", GatewayRecords((), period("g", 0.2, 1), (STOP,)), False),
            ("other_stops", GatewayRecords(stops=period("h", 0.0, 8.0)), False),
        ]
    )
    def test_troubles_of_the_gateway_excuse_a_cut(
        self, _name: str, gateways: GatewayRecords, is_lost: bool
    ) -> None:
        result, endpoints = make_cut(3.1, 5.0), make_endpoint(5.0)
        record = SoakRecord([result], ["r1"], CHANGES, b"", (), endpoints, gateways)
        self.assertEqual(len(list(_check_requests_in_stops(record))), is_lost)


class DurationTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("in_time", 8.0, (), False),
            ("too_late", 8.1, (), True),
            ("suspended", 8.1, period("g", 1, 2), False),
            ("suspended_before", 8.1, period("g", -2, -1), True),
        ]
    )
    def test_stop_that_outlasts_the_grace_is_found(
        self,
        _name: str,
        ended_s: float,
        suspensions: tuple[Period, ...],
        is_late: bool,
    ) -> None:
        gateways = GatewayRecords((), (), period("g", 0, ended_s), suspensions)
        record = SoakRecord([], [], CHANGES, b"", gateways=gateways)
        self.assertEqual(len(list(_check_durations(record))), is_late)
