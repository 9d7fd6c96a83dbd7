"""Tests of which requests a stopping process still takes."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.core.work import Run
from agatehoist.routing.types import (
    Envelope,
    Prompt,
    Route,
    RoutedRequest,
    RouteKind,
)
from agatehoist.stopping.admission import late_refusal
from agatehoist.stopping.durations import MAX_ROUTES, MIN_SAMPLES, UsualDurations
from agatehoist.stopping.schedule import StopSchedule

# Streams that may be cut are refused after 2.5 s, idle connections are closed after
# 3 s, and final answers are given after 7 s.
SCHEDULE = StopSchedule(2.5, 3.0, 7.0, 7.3)
ROUTE = "songs"
CALL, STREAM = RouteKind.IDEMPOTENT, RouteKind.STREAM
# Seconds to the first event of an answer and from there to its end.
QUICK, SLOW = (0.2, 0.0), (2.5, 0.0)
VARYING = ((0.2, 0.0), (2.2, 0.0))
# Of 100 output tokens.
STREAMED = (0.5, 2.0)


def make_request(
    kind: RouteKind, objective_s: float, tokens: int, deadline: float
) -> RoutedRequest:
    """Return a request of a route with an objective for gaps of 0.05 s."""
    route = Route(
        ROUTE, "a", "/", kind, (), 60.0, objective_s, 0.05, 1, 1, True, False, False
    )
    prompt = Prompt("m", (), 10, tokens) if tokens else None
    envelope = Envelope(
        "r1", b"GET", b"/", "a", "/", (), (), b"", 0.0, None, prompt, None
    )
    return RoutedRequest(envelope, route, "service", None, deadline, 1)


def learn(samples: tuple[tuple[float, float], ...], tokens: int) -> UsualDurations:
    """Return durations learned from these answers, repeated often."""
    durations = UsualDurations()
    for _ in range(MIN_SAMPLES * 2):
        for first_s, rest_s in samples:
            durations.add(ROUTE, first_s, tokens, rest_s)
    return durations


class LateRequestTests(unittest.TestCase):
    # The kind of route, its objective in s, the output tokens, the answers before, the
    # times of the request and of its deadline, and whether it is taken.
    @parameterized.expand(
        [
            ("quick_call", CALL, 1.0, 0, (QUICK,), 5.0, 60.0, True),
            ("quick_call_at_the_end", CALL, 1.0, 0, (QUICK,), 6.95, 60.0, False),
            ("quick_call_after_the_end", CALL, 1.0, 0, (QUICK,), 7.1, 60.0, False),
            ("slow_call_early", CALL, 0.5, 0, (SLOW,), 1.0, 60.0, True),
            ("slow_call_late", CALL, 0.5, 0, (SLOW,), 4.6, 60.0, False),
            ("slow_call_with_a_near_deadline", CALL, 0.5, 0, (SLOW,), 6.0, 6.8, True),
            ("slow_call_with_a_late_deadline", CALL, 0.5, 0, (SLOW,), 6.0, 7.2, False),
            ("varying_call_early", CALL, 0.5, 0, VARYING, 2.9, 60.0, True),
            ("varying_call_late", CALL, 0.5, 0, VARYING, 4.0, 60.0, False),
            ("unknown_call", CALL, 1.0, 0, (), 5.9, 60.0, True),
            ("unknown_call_with_a_long_objective", CALL, 5.0, 0, (), 3.0, 60.0, False),
            ("unknown_stream", STREAM, 0.5, 100, (), 1.4, 60.0, True),
            ("unknown_long_stream", STREAM, 0.5, 200, (), 0.1, 60.0, False),
            ("stream", STREAM, 0.5, 100, (STREAMED,), 2.4, 60.0, True),
            ("stream_late", STREAM, 0.5, 100, (STREAMED,), 4.6, 60.0, False),
            ("stream_by_a_late_clock", STREAM, 0.5, 100, (STREAMED,), 2.6, 60.0, False),
            ("usually_short_stream", STREAM, 0.5, 0, (QUICK,), 3.1, 60.0, False),
            ("unknown_short_stream", STREAM, 0.5, 0, (), 3.1, 60.0, False),
            ("stream_with_a_near_deadline", STREAM, 0.5, 0, (QUICK,), 3.1, 6.9, True),
            ("longer_stream_early", STREAM, 0.5, 300, (STREAMED,), 0.2, 60.0, True),
            ("longer_stream_late", STREAM, 0.5, 300, (STREAMED,), 3.0, 60.0, False),
        ]
    )
    def test_only_requests_that_end_in_time_are_taken(
        self,
        _name: str,
        kind: RouteKind,
        objective_s: float,
        tokens: int,
        samples: tuple[tuple[float, float], ...],
        at: float,
        deadline: float,
        is_taken: bool,
    ) -> None:
        request = make_request(kind, objective_s, tokens, deadline)
        durations = learn(samples, tokens=100 if tokens else 0)
        refusal = late_refusal(request, durations, SCHEDULE, at)
        self.assertEqual(refusal is None, is_taken)
        if refusal is not None:
            self.assertEqual((refusal.code, refusal.run), ("leaving", Run.NO))
            assert refusal.retry_at is not None
            self.assertLess(refusal.retry_at - at, 0.5)

    def test_a_process_that_does_not_stop_refuses_nothing(self) -> None:
        request = make_request(CALL, 1000.0, 0, 2000.0)
        self.assertIsNone(late_refusal(request, UsualDurations(), None, 0.0))

    def test_durations_are_kept_of_a_bounded_number_of_routes(self) -> None:
        durations = UsualDurations()
        for index in range(MAX_ROUTES + 1):
            for _ in range(MIN_SAMPLES):
                durations.add(f"route-{index}", 1.0, 0, 0.0)
        self.assertIsNone(durations.estimate_s("route-0", 0, 1.0))
        self.assertIsNotNone(durations.estimate_s("route-1", 0, 1.0))
