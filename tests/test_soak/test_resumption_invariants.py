"""Tests of the soak's invariants on resumptions and software versions."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from soak.resumption_invariants import (
    _check_share_of_resumptions,
    _check_versions_in_answers,
    _check_versions_over_resumptions,
    count_resumptions,
)
from soak.traffic import PlannedRequest, make_resumption
from soak.types import (
    EndpointRecords,
    GatewayRecords,
    Period,
    RequestResult,
    SentRequest,
    Service,
    SoakRecord,
)

FIRST = RequestResult(
    SentRequest("r1", "trace", 1, "g", 90.0, 0.0),
    200,
    b"id: 1\ndata: t1\n\nid: 2\nda",
    complete=False,
    ended_at=95.0,
    software=("v1",),
)
RESUMED = RequestResult(
    SentRequest("r2", "trace", 1, "h", 100.0, 0.0, resumes="r1", last_event_id=1),
    200,
    b"",
    complete=True,
    ended_at=101.0,
    software=("v1",),
)
REFUSED = replace(RESUMED, status=503, software=())
SERVICES = tuple(Service("v1", Period(each, 0.0, 200.0)) for each in ("e", "f"))
ENDPOINTS = EndpointRecords(services=SERVICES)
UNDISTURBED = GatewayRecords()


def make_record(
    *resumptions: RequestResult,
    endpoints: EndpointRecords = ENDPOINTS,
    gateways: GatewayRecords = UNDISTURBED,
) -> SoakRecord:
    """Return the record of a stream that broke off and of its resumptions."""
    results = [FIRST, *resumptions]
    return SoakRecord(results, [], [], b"", endpoints=endpoints, gateways=gateways)


class VersionTests(unittest.TestCase):
    # The versions of the resumption's events; those that are found.
    @parameterized.expand(
        [
            ("same", ("v1",), 0, 0),
            ("refused", (), 0, 0),
            ("other", ("v2",), 0, 1),
            ("both", ("v1", "v2"), 1, 1),
        ]
    )
    def test_events_of_two_versions_are_found(
        self, _name: str, software: tuple[str, ...], in_answers: int, over: int
    ) -> None:
        record = make_record(replace(RESUMED, software=software))
        self.assertEqual(len(list(_check_versions_in_answers(record))), in_answers)
        self.assertEqual(len(list(_check_versions_over_resumptions(record))), over)


class ShareTests(unittest.TestCase):
    # The resumptions, and whether so few go on that it is found.
    @parameterized.expand(
        [
            ("half", [RESUMED] * 6 + [REFUSED] * 6, False),
            ("less", [RESUMED] * 5 + [REFUSED] * 7, True),
            (
                "broken_off",
                [RESUMED] * 5 + [replace(RESUMED, complete=False)] * 7,
                True,
            ),
            ("too_few", [REFUSED] * 11, False),
        ]
    )
    def test_small_share_that_goes_on_is_found(
        self, _name: str, resumptions: list[RequestResult], is_found: bool
    ) -> None:
        found = list(_check_share_of_resumptions(make_record(*resumptions)))
        self.assertEqual(len(found), is_found)

    # What happened beside the resumption from 100 s to 101 s; whether it counts.
    @parameterized.expand(
        [
            ("nothing", {}, {}, True),
            ("gateway_down", {}, {"down": (Period("h", 90.0, 96.1),)}, False),
            ("gateway_up_since", {}, {"down": (Period("h", 90.0, 95.9),)}, True),
            ("other_gateway_down", {}, {"down": (Period("g", 90.0, 99.0),)}, True),
            ("crash", {"path_faults": (Period("e", 99.0, 99.0),)}, {}, False),
            ("silence", {"silences": (Period("e", 100.5, 102.0),)}, {}, False),
            ("weights", {"weights_changes": (Period("e", 103.0, 104.0),)}, {}, False),
            ("one_engine", {"services": SERVICES[:1]}, {}, False),
            (
                "engine_leaves",
                {
                    "services": (
                        SERVICES[0],
                        Service("v1", Period("f", 0.0, 100.5)),
                        Service("v2", Period("f", 100.5, 200.0)),
                    )
                },
                {},
                False,
            ),
        ]
    )
    def test_resumption_counts_if_it_can_go_on(
        self,
        _name: str,
        endpoints: dict[str, tuple[Period, ...]],
        gateways: dict[str, tuple[Period, ...]],
        counts: bool,
    ) -> None:
        record = make_record(
            RESUMED,
            endpoints=replace(ENDPOINTS, **endpoints),  # type: ignore[arg-type]
            gateways=GatewayRecords(**gateways),
        )
        self.assertEqual(count_resumptions(record), (counts, counts))


class ResumptionTests(unittest.TestCase):
    # The request and its result; the request and the event that a resumption names.
    @parameterized.expand(
        [
            ("broken_off", PlannedRequest("trace"), FIRST, ("r1", 1)),
            (
                "refused",
                PlannedRequest("trace", resumes="r1", last_event_id=7),
                REFUSED,
                ("r1", 7),
            ),
            (
                "broken_off_again",
                PlannedRequest("trace", resumes="r0", last_event_id=7),
                FIRST,
                ("r0", 8),
            ),
            ("complete", PlannedRequest("trace"), replace(FIRST, complete=True), None),
            ("all_events", PlannedRequest("trace", event_count=1), FIRST, None),
            ("no_event", PlannedRequest("trace"), replace(FIRST, body=b"id"), None),
            ("run_once", PlannedRequest("credit"), FIRST, None),
            ("gone", PlannedRequest("trace"), replace(FIRST, has_left=True), None),
            (
                "cut_off",
                PlannedRequest("trace", takes_up=True),
                replace(FIRST, has_left=True),
                ("r1", 1),
            ),
        ]
    )
    def test_stream_that_broke_off_is_taken_up_after_its_last_event(
        self,
        _name: str,
        planned: PlannedRequest,
        result: RequestResult,
        expected: tuple[str, int] | None,
    ) -> None:
        resumption = make_resumption(planned, result)
        named = resumption and (resumption.resumes, resumption.last_event_id)
        self.assertEqual(named, expected)
