"""Tests of the soak's invariant checks."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from parameterized import parameterized

from soak.configurations import OVERUSER_ROUTE
from soak.types import (
    Arrival,
    ConfigurationChange,
    EndedRun,
    EndpointRecords,
    GatewayRecords,
    Period,
    ReceivedOrder,
    RequestResult,
    SentRequest,
    SoakRecord,
    StatementPeriod,
)
from soak.violations import find_violations
from standins.users_platform.endpoint import Crash, Ending, RunEnd

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHANGES = (
    ConfigurationChange(1, 0.0),
    ConfigurationChange(2, 10.0),
    ConfigurationChange(3, 20.0),
)


def make_result(
    route: str,
    status: int = 200,
    body: bytes = b"r1 by e",
    complete: bool = True,
    sent_at: float = 5.0,
    path_version: int = 1,
    fault_free_since: float = 0.0,
) -> RequestResult:
    """Return the result of the request r1."""
    sent = SentRequest("r1", route, path_version, "g", sent_at, fault_free_since)
    return RequestResult(sent, status, body, complete, sent_at + 0.1)


def make_stream_of(event_count: int, body: bytes) -> RequestResult:
    """Return the result of a stream that should have so many events."""
    result = make_result("trace", body=body)
    return replace(result, sent=replace(result.sent, event_count=event_count))


class InvariantTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("call", make_result("look"), 1, []),
            ("repeated_call", make_result("look"), 2, []),
            ("call_run_twice", make_result("post"), 2, ["once"]),
            ("stream_run_twice", make_result("credit", body=STREAM), 2, ["once"]),
            ("resumed_stream", make_result("trace", body=STREAM), 2, []),
            ("refused", make_result("post", 503, b""), 0, []),
            ("untrue_refusal", make_result("post", 503, b""), 1, ["true"]),
            ("unknown_outcome", make_result("post", 502, b""), 1, []),
            ("others_answer", make_result("look", body=b"r2 by e"), 1, ["whole"]),
            ("broken_call", make_result("look", body=b"r", complete=False), 1, []),
            (
                "broken_stream",
                make_result("trace", body=STREAM[:15], complete=False),
                1,
                [],
            ),
            ("ended_early", make_result("trace", body=STREAM[:15]), 1, ["whole"]),
            ("short_stream", make_stream_of(1, STREAM[:15]), 1, []),
            ("too_many_events", make_stream_of(1, STREAM), 1, ["whole"]),
            (
                "gap",
                make_result("trace", body=STREAM[15:], complete=False),
                1,
                ["whole"],
            ),
        ]
    )
    def test_result_violates_expected_invariants(
        self, _name: str, result: RequestResult, runs: int, expected: list[str]
    ) -> None:
        violations = find_violations(
            SoakRecord([result], ["r1"] * runs, CHANGES, STREAM)
        )
        self.assertEqual([each.invariant for each in violations], expected)

    @parameterized.expand(
        [
            ("at_once", 11.0, 2, 0.0, False),
            ("late", 12.1, 2, 0.0, True),
            ("disturbed_lately", 12.1, 2, 11.0, False),
            ("disturbed_now", 19.0, 2, math.inf, False),
            ("disturbed_before", 13.1, 2, 11.0, True),
            ("replaced_since", 20.5, 2, 0.0, False),
        ]
    )
    def test_configuration_is_in_force_within_limit(
        self,
        _name: str,
        sent_at: float,
        path_version: int,
        fault_free_since: float,
        expected: bool,
    ) -> None:
        result = make_result(
            "look",
            404,
            b"",
            sent_at=sent_at,
            path_version=path_version,
            fault_free_since=fault_free_since,
        )
        violations = find_violations(SoakRecord([result], [], CHANGES, STREAM))
        self.assertEqual(
            [each.invariant for each in violations], ["in force"] * expected
        )


# Times of the requests of the deadly part: five crash engines from 11 s to 15 s.
CRASHED_AT = (11.0, 12.0, 13.0, 14.0, 15.0)


def make_stream(
    request_id: str, sent_at: float, status: int = 200, deadly: bool = False
) -> RequestResult:
    """Return the result of a stream, sent by a gateway that had a fault until 5 s."""
    body = STREAM if status == 200 else b""
    result = make_result("trace", status, body, sent_at=sent_at, fault_free_since=5.0)
    sent = replace(
        result.sent, request_id=request_id, deadly_part="bad" if deadly else ""
    )
    return replace(result, sent=sent)


class DeadlyPartTests(unittest.TestCase):
    # Requests of the deadly part that run after the crashes, and when they are sent. It
    # must be known from 18 s on.
    @parameterized.expand(
        [
            ("as_many_as_allowed", 3, 18.1, 5, []),
            ("one_too_many", 4, 18.1, 5, ["budget"]),
            ("too_early", 4, 17.9, 5, []),
            ("four_crashes", 4, 18.1, 4, []),
        ]
    )
    def test_runs_on_known_part_are_bounded(
        self, _name: str, runs: int, sent_at: float, crashes: int, expected: list[str]
    ) -> None:
        results = [make_stream(f"c{at}", at, 502, deadly=True) for at in CRASHED_AT]
        results += [
            make_stream(f"r{n}", sent_at, 502, deadly=True) for n in range(runs)
        ]
        crashed = [Crash(at, f"c{at}") for at in CRASHED_AT[:crashes]]
        run_ids = [each.sent.request_id for each in results]
        violations = find_violations(
            SoakRecord(results, run_ids, CHANGES, STREAM, crashed)
        )
        self.assertEqual([each.invariant for each in violations], expected)

    # How many of 30 sound requests are served from 21 s on, and at a gateway that has a
    # fault until 5 s or until 20 s.
    @parameterized.expand(
        [
            ("half", 15, 5.0, []),
            ("fewer", 14, 5.0, ["lost"]),
            ("out_of_touch", 14, 20.0, []),
        ]
    )
    def test_sound_requests_go_on_beside_a_deadly_part(
        self, _name: str, served: int, fault_free_since: float, expected: list[str]
    ) -> None:
        results = [make_stream(f"c{at}", at, 502, deadly=True) for at in CRASHED_AT]
        results.append(make_stream("last", 23.0, 503, deadly=True))
        results += [make_stream(f"before-{n}", 9.0) for n in range(30)]
        late = [
            make_stream(f"late-{n}", 22.0, 200 if n < served else 503)
            for n in range(30)
        ]
        results += [
            replace(r, sent=replace(r.sent, fault_free_since=fault_free_since))
            for r in late
        ]
        crashed = [Crash(at, f"c{at}") for at in CRASHED_AT]
        run_ids = [r.sent.request_id for r in results if r.status != 503]
        violations = find_violations(
            SoakRecord(results, run_ids, CHANGES, STREAM, crashed)
        )
        self.assertEqual([each.invariant for each in violations], expected)


class EndpointRecordTests(unittest.TestCase):
    # Arrivals at an endpoint that said something of itself from 0 to 20.
    @parameterized.expand(
        [
            ("limit_kept", "limit", [6.0 + n / 4 for n in range(17)], []),
            ("limit_passed", "limit", [6.0 + n / 10 for n in range(19)], ["limit"]),
            ("limit_not_known_yet", "limit", [0.1 + n / 10 for n in range(19)], []),
            ("late_request", "leaving", [6.0], []),
            ("leaving_ignored", "leaving", [6.0, 7.0], ["leaving"]),
        ]
    )
    def test_statements_of_endpoints_are_checked(
        self, _name: str, kind: str, times: list[float], expected: list[str]
    ) -> None:
        results = [
            replace(each, sent=replace(each.sent, request_id=f"r{n}", sent_at=at))
            for n, at in enumerate(times)
            for each in [make_result("look", 502, b"")]
        ]
        records = EndpointRecords(
            (StatementPeriod(kind, "e", 0.0, 20.0, 2.0),),
            tuple(Arrival("e", f"r{n}", at) for n, at in enumerate(times)),
        )
        violations = find_violations(
            SoakRecord(results, [], CHANGES, STREAM, (), records)
        )
        found = [e.invariant for e in violations if e.invariant != "in force"]
        self.assertEqual(found, expected)

    # Requests of an organisation that 192 of may run in 8 s, the time between two of
    # them, and how often each reaches an endpoint.
    @parameterized.expand(
        [
            ("at_its_rate", 400, 0.05, 1, []),
            ("tried_twice", 150, 0.01, 2, []),
            ("far_over_it", 200, 0.01, 1, ["allotment"]),
        ]
    )
    def test_allotment_is_checked(
        self, _name: str, count: int, interval_s: float, tries: int, expected: list[str]
    ) -> None:
        result = make_result(OVERUSER_ROUTE)
        results = [
            replace(result, sent=replace(result.sent, request_id=f"r{n}"))
            for n in range(count)
        ]
        arrivals = tuple(
            Arrival(f"e{each}", f"r{n}", n * interval_s + each / 10)
            for n in range(count)
            for each in range(tries)
        )
        records = EndpointRecords(arrivals=arrivals)
        found = find_violations(SoakRecord(results, [], CHANGES, STREAM, (), records))
        allotment = [each.invariant for each in found if each.invariant == "allotment"]
        self.assertEqual(allotment, expected)

    @parameterized.expand(
        [
            ("in_turn", [("a", 1), ("a", 1), ("b", 2)], []),
            ("goes_back", [("a", 2), ("b", 1)], ["orders"]),
            ("of_two_holders", [("a", 2), ("b", 2)], ["orders"]),
        ]
    )
    def test_tokens_are_checked(
        self, _name: str, orders: list[tuple[str, int]], expected: list[str]
    ) -> None:
        received = tuple(
            ReceivedOrder(float(at), holder, token)
            for at, (holder, token) in enumerate(orders)
        )
        records = EndpointRecords(orders=received)
        violations = find_violations(SoakRecord([], [], CHANGES, STREAM, (), records))
        self.assertEqual([each.invariant for each in violations], expected)

    # When the second of two holders orders the same endpoint or another one, and a time
    # in which the first holder was suspended.
    @parameterized.expand(
        [
            ("far_apart", "e", 13.0, (0.0, 0.1), []),
            ("too_near", "e", 12.9, (0.0, 0.1), ["turns"]),
            ("other_endpoint", "f", 11.0, (0.0, 0.1), []),
            ("held_back", "e", 12.9, (9.0, 9.9), []),
        ]
    )
    def test_turns_of_holders_are_checked(
        self,
        _name: str,
        endpoint: str,
        at: float,
        suspended: tuple[float, float],
        expected: list[str],
    ) -> None:
        orders = (
            ReceivedOrder(10.0, "a", 1, "e"),
            ReceivedOrder(at, "b", 2, endpoint),
        )
        gateways = GatewayRecords(suspensions=(Period("a", *suspended),))
        record = SoakRecord(
            [], [], CHANGES, STREAM, (), EndpointRecords(orders=orders), gateways
        )
        self.assertEqual([e.invariant for e in find_violations(record)], expected)


def make_deadly(request_id: str, sent_at: float, gateway: str = "g") -> RequestResult:
    """Return the result of a deadly request."""
    result = make_result("post", 502, b"", sent_at=sent_at)
    sent = replace(
        result.sent, request_id=request_id, gateway=gateway, deadly_request="bad"
    )
    return replace(result, sent=sent)


class DeadlyRequestTests(unittest.TestCase):
    # Arrivals after the crashes, when, how many crashes there were from 11 s to 13 s,
    # and until when the gateway had a fault. The request must be known from 16 s on.
    @parameterized.expand(
        [
            ("as_many_as_allowed", 3, 16.1, 3, 5.0, []),
            ("one_too_many", 4, 16.1, 3, 5.0, ["budget"]),
            ("too_early", 4, 15.9, 3, 5.0, []),
            ("two_crashes", 4, 16.1, 2, 5.0, []),
            ("at_a_gateway_out_of_touch", 4, 16.1, 3, 14.0, []),
            ("at_a_gateway_in_touch_again", 4, 16.1, 3, 13.0, ["budget"]),
        ]
    )
    def test_arrivals_of_known_request_are_bounded(
        self,
        _name: str,
        count: int,
        at: float,
        crashes: int,
        fault_until: float,
        expected: list[str],
    ) -> None:
        crashed = [Crash(11.0 + n, f"c{n}") for n in range(crashes)]
        arrivals = [Arrival("e", each.request_id, each.at) for each in crashed]
        arrivals += [Arrival("e", f"r{n}", at) for n in range(count)]
        # Requests that wait are counted when they arrive.
        results = [make_deadly(each.request_id, 10.0) for each in arrivals]
        record = SoakRecord(
            results,
            [each.request_id for each in arrivals],
            CHANGES,
            STREAM,
            crashed,
            EndpointRecords(arrivals=tuple(arrivals)),
            GatewayRecords(faults=(Period("g", 0.0, fault_until),)),
        )
        violations = find_violations(record)
        self.assertEqual([each.invariant for each in violations], expected)

    # How many of 30 sound requests on the route are served from 17 s on, and a fault of
    # an endpoint's path meanwhile.
    @parameterized.expand(
        [
            ("half", 15, None, []),
            ("fewer", 14, None, ["lost"]),
            ("fewer_beside_another_fault", 14, Period("e", 16.5, 17.5), []),
            ("fewer_after_another_fault", 14, Period("e", 15.0, 16.5), ["lost"]),
        ]
    )
    def test_sound_requests_go_on_beside_a_deadly_one(
        self, _name: str, served: int, fault: Period | None, expected: list[str]
    ) -> None:
        crashed = [Crash(11.0 + n, f"c{n}") for n in range(3)]
        results = [make_deadly(each.request_id, each.at) for each in crashed]
        results.append(make_deadly("last", 20.0))
        sound = make_result("post", fault_free_since=1.0)
        sent = [("before", n, 9.0, 200) for n in range(30)]
        sent += [("late", n, 17.0, 200 if n < served else 503) for n in range(30)]
        for name, number, at, status in sent:
            request_id = f"{name}-{number}"
            body = f"{request_id} by e".encode() if status == 200 else b""
            results.append(
                replace(
                    sound,
                    sent=replace(sound.sent, request_id=request_id, sent_at=at),
                    status=status,
                    body=body,
                    ended_at=at + 0.1,
                )
            )
        record = SoakRecord(
            results,
            [each.sent.request_id for each in results if each.status != 503],
            CHANGES,
            STREAM,
            crashed,
            EndpointRecords(path_faults=(fault,) if fault else ()),
        )
        violations = find_violations(record)
        self.assertEqual([each.invariant for each in violations], expected)


# A request that was sent at 5 s and ended without a complete answer 0.1 s later, on a
# connection that was opened at 4 s.
UNANSWERED = replace(
    make_result("post", 0, b"", complete=False), connected_at=4.0, ended_at=5.1
)
BROKEN_STREAM = replace(
    make_result("credit", 200, STREAM[:15], complete=False), connected_at=4.0
)
ARRIVED = (Arrival("e", "r1", 5.01),)


def make_run(ending: Ending, fault: str = "") -> EndedRun:
    """Return the end of a run of the request r1."""
    return EndedRun("e", RunEnd("r1", ending, fault, 5.1))


class AnswerTests(unittest.TestCase):
    # Case, the result, what the endpoints and the gateways recorded.
    @parameterized.expand(
        [
            ("not_read", UNANSWERED, EndpointRecords(), GatewayRecords(), []),
            (
                "not_answered",
                UNANSWERED,
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "not_answered_for_long",
                replace(UNANSWERED, ended_at=5.3),
                EndpointRecords(),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "not_read_while_suspended",
                replace(UNANSWERED, ended_at=5.3),
                EndpointRecords(),
                GatewayRecords(suspensions=(Period("g", 4.0, 5.2),)),
                [],
            ),
            (
                "not_answered_after_a_suspension",
                replace(UNANSWERED, ended_at=5.3),
                EndpointRecords(),
                GatewayRecords(suspensions=(Period("g", 4.0, 5.05),)),
                ["answered"],
            ),
            (
                "caller_left",
                replace(UNANSWERED, has_left=True),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(),
                [],
            ),
            (
                "not_sent_whole",
                replace(UNANSWERED, sent_whole=False, ended_at=9.0),
                EndpointRecords(),
                GatewayRecords(),
                [],
            ),
            (
                "killed",
                UNANSWERED,
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(kills=(Period("g", 4.9, 4.95),)),
                [],
            ),
            (
                "killed_before",
                UNANSWERED,
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(kills=(Period("g", 3.0, 3.9),)),
                ["answered"],
            ),
            (
                "other_gateway_killed",
                UNANSWERED,
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(kills=(Period("h", 4.9, 4.95),)),
                ["answered"],
            ),
            (
                "planned_stop",
                replace(UNANSWERED, ended_at=13.0),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(stops=(Period("g", 4.9, 13.0),)),
                ["answered", "stops in time"],
            ),
            (
                "endpoint_failed_before_the_answer",
                UNANSWERED,
                EndpointRecords(
                    arrivals=ARRIVED, ended_runs=(make_run(Ending.BROKEN_OFF),)
                ),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "endpoint_broke_off",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED, ended_runs=(make_run(Ending.BROKEN_OFF),)
                ),
                GatewayRecords(),
                [],
            ),
            (
                "endpoint_ended_within_an_event",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED, ended_runs=(make_run(Ending.WHOLE, "cut"),)
                ),
                GatewayRecords(),
                [],
            ),
            (
                "call_whose_endpoint_streams_and_stalls",
                make_result("look", 200, STREAM[:15], complete=False),
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CALLER_GONE, "stall"),),
                ),
                GatewayRecords(),
                [],
            ),
            (
                "call_broken_off_by_the_gateway",
                make_result("look", 200, b"r1", complete=False),
                EndpointRecords(arrivals=ARRIVED, ended_runs=(make_run(Ending.WHOLE),)),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "gateway_broke_off",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED, ended_runs=(make_run(Ending.CALLER_GONE),)
                ),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "lost_in_a_move",
                BROKEN_STREAM,
                EndpointRecords(arrivals=ARRIVED, ended_runs=(make_run(Ending.MOVED),)),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "moved_to_an_endpoint_that_crashed",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.MOVED),),
                    path_faults=(Period("f", 5.05, 5.05),),
                ),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "not_resumed_after_a_silence",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CALLER_GONE, "silent_between_events"),),
                ),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "path_cut",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CALLER_GONE),),
                    path_faults=(Period("e", 5.05, 5.05),),
                ),
                GatewayRecords(),
                [],
            ),
            (
                "other_path_cut",
                BROKEN_STREAM,
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CALLER_GONE),),
                    path_faults=(Period("f", 5.05, 5.05),),
                ),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "stream_at_its_timeout",
                replace(BROKEN_STREAM, ended_at=9.0, began_at=3.0),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(),
                [],
            ),
            (
                "stream_before_its_timeout",
                replace(BROKEN_STREAM, ended_at=9.0, began_at=3.1),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(),
                ["answered"],
            ),
            (
                "stream_at_the_end_of_the_grace",
                replace(BROKEN_STREAM, ended_at=9.9),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(stops=(Period("g", 2.0, 9.8),)),
                [],
            ),
            (
                "late_stream_at_the_end_of_the_grace",
                replace(BROKEN_STREAM, ended_at=9.9),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(stops=(Period("g", 1.9, 9.8),)),
                ["answered", "lost in a stop"],
            ),
            (
                "stream_cut_early_in_the_grace",
                BROKEN_STREAM,
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(stops=(Period("g", 2.0, 9.8),)),
                ["answered", "lost in a stop"],
            ),
            (
                "other_body_without_length_of_an_endpoint_that_crashed",
                make_result("trace", 200, b"yyy"),
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CRASHED, "endless_unframed"),),
                ),
                GatewayRecords(),
                [],
            ),
            (
                "rejection_without_length_of_an_endpoint_that_crashed",
                make_result("post", 503, b""),
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CRASHED, "endless_rejection"),),
                ),
                GatewayRecords(),
                [],
            ),
            (
                "refused_after_a_crash",
                make_result("post", 503, b""),
                EndpointRecords(
                    arrivals=ARRIVED, ended_runs=(make_run(Ending.CRASHED),)
                ),
                GatewayRecords(),
                ["true"],
            ),
            (
                "other_body_without_length",
                make_result("trace", 200, b"yyy"),
                EndpointRecords(
                    arrivals=ARRIVED,
                    ended_runs=(make_run(Ending.CALLER_GONE, "endless_unframed"),),
                ),
                GatewayRecords(),
                ["whole"],
            ),
            (
                "answer_to_another",
                replace(make_result("post"), answered_id="r2"),
                EndpointRecords(arrivals=ARRIVED),
                GatewayRecords(),
                ["answered"],
            ),
        ]
    )
    def test_each_request_that_was_read_gets_one_complete_answer(
        self,
        _name: str,
        result: RequestResult,
        endpoints: EndpointRecords,
        gateways: GatewayRecords,
        expected: list[str],
    ) -> None:
        changes = [
            replace(each, timeout_s=6.0, stream_timeout_s=6.0) for each in CHANGES
        ]
        record = SoakRecord([result], ["r1"], changes, STREAM, (), endpoints, gateways)
        violations = find_violations(record)
        self.assertEqual([each.invariant for each in violations], expected)

    # Case, the result, the run's end, which endpoint was silent, and until when.
    @parameterized.expand(
        [
            ("served", make_result("post"), make_run(Ending.WHOLE), "e", 5.5, []),
            (
                "run_once_call_given_up",
                make_result("post", 502, b""),
                make_run(Ending.WHOLE),
                "e",
                5.05,
                ["silence"],
            ),
            (
                "call_that_may_be_repeated",
                make_result("look", 502, b""),
                make_run(Ending.WHOLE),
                "e",
                5.05,
                [],
            ),
            (
                "silent_before",
                make_result("post", 502, b""),
                make_run(Ending.WHOLE),
                "e",
                4.9,
                [],
            ),
            (
                "other_endpoint_silent",
                make_result("post", 502, b""),
                make_run(Ending.WHOLE),
                "f",
                5.05,
                [],
            ),
            (
                "run_with_a_fault",
                make_result("post", 502, b""),
                make_run(Ending.WHOLE, "fail"),
                "e",
                5.05,
                [],
            ),
            (
                "crashed",
                make_result("post", 502, b""),
                make_run(Ending.CRASHED),
                "e",
                5.05,
                [],
            ),
            (
                "stream_broken",
                make_result("trace", 200, STREAM[:15], complete=False),
                make_run(Ending.CALLER_GONE),
                "e",
                5.05,
                ["answered", "silence"],
            ),
            (
                "timed_out",
                replace(make_result("post", 504, b""), ended_at=11.0),
                make_run(Ending.CALLER_GONE),
                "e",
                5.05,
                [],
            ),
        ]
    )
    def test_silence_ends_no_stream_or_run_once_request(
        self,
        _name: str,
        result: RequestResult,
        run: EndedRun,
        silent: str,
        silent_until: float,
        expected: list[str],
    ) -> None:
        endpoints = EndpointRecords(
            arrivals=ARRIVED,
            ended_runs=(run,),
            silences=(Period(silent, 4.0, silent_until),),
        )
        changes = [
            replace(each, timeout_s=6.0, stream_timeout_s=6.0) for each in CHANGES
        ]
        record = SoakRecord([result], ["r1"], changes, STREAM, (), endpoints)
        violations = find_violations(record)
        self.assertEqual([each.invariant for each in violations], expected)
