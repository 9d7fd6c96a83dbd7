"""Invariants on the answers to requests that gateways have read."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from soak.configurations import AT_MOST_ONCE_ROUTES, STREAMED_ROUTES
from soak.invariants import INVARIANT_CHECKS
from soak.types import GRACE_S, EndedRun, Violation

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from soak.types import Period, RequestResult, SoakRecord

# A request whose connection ends sooner after its last byte may not have been read.
LOSS_SLACK_S = 0.2
# The time from the begin of a stop in which requests still come, and from which an
# answer that takes so long may be broken off.
LATE_REQUESTS_S = 3.0
BREAK_OFF_S = GRACE_S * 5 / 6
# A stop counts for so long after its grace.
AFTER_GRACE_S = 1.0
# Faults of the stand-ins after which the answer goes on.
SILENCES = frozenset(
    {"silent_before_head", "silent_before_body", "silent_between_events"}
)


@INVARIANT_CHECKS.register("answered")
def _check_answers(record: SoakRecord) -> Iterator[Violation]:
    """Check that each request that was read got one complete answer, and its own."""
    arrived_ids = {each.request_id for each in record.endpoints.arrivals}
    runs_by_id = record.runs_by_id()
    for each in record.results:
        request_id = each.sent.request_id
        if each.answered_id not in ("", request_id):
            yield Violation("answered", request_id, f"as {each.answered_id}")
        if each.complete or each.has_left or not each.sent_whole:
            continue
        if not was_read(record, each) and request_id not in arrived_ids:
            continue
        broken_off = each.status == HTTPStatus.OK and (
            is_broken_off(record, each, runs_by_id[request_id])
            or has_timed_out(record, each)
            or outlasts_stop(record, each, runs_by_id[request_id])
        )
        if not broken_off and not _is_killed(record, each):
            detail = f"status {each.status}, not complete, at {each.sent.gateway}"
            yield Violation("answered", request_id, detail)


@INVARIANT_CHECKS.register("silence")
def _check_silences(record: SoakRecord) -> Iterator[Violation]:
    """Check that a silence of endpoints ended no stream or run-once request."""
    runs_by_id = record.runs_by_id()
    for each in record.results:
        runs = runs_by_id[each.sent.request_id]
        has_begun = each.status == HTTPStatus.OK
        must_end = has_begun or each.sent.route in AT_MOST_ONCE_ROUTES
        if each.has_left or not must_end or (has_begun and each.complete):
            continue
        silent = [
            period.subject
            for period in record.endpoints.silences
            if period.overlaps(each.sent.sent_at, each.ended_at)
        ]
        if (
            any(run.endpoint in silent for run in runs)
            and not is_broken_off(record, each, runs)
            and not has_timed_out(record, each)
            and not outlasts_stop(record, each, runs)
            and not _is_killed(record, each)
        ):
            detail = f"status {each.status}, complete {each.complete}"
            yield Violation("silence", each.sent.request_id, detail)


def is_broken_off(
    record: SoakRecord, result: RequestResult, runs: Sequence[EndedRun]
) -> bool:
    """Return whether an endpoint or its path broke off a run of a request."""
    endpoints = {each.endpoint for each in runs}
    began_at, ended_at = result.sent.sent_at, result.ended_at
    return any(_broke_off(each) for each in runs) or any(
        each.subject in endpoints and each.overlaps(began_at, ended_at)
        for each in record.endpoints.path_faults
    )


def _broke_off(run: EndedRun) -> bool:
    # An endpoint that is silent for a while goes on.
    has_fault = run.end.fault and run.end.fault not in SILENCES
    return bool(has_fault) or run.end.ending.is_of_endpoint


def was_read(record: SoakRecord, result: RequestResult) -> bool:
    """Return whether a running gateway has had the time to read a request."""
    sent = result.sent
    resumed_at = max(
        (
            each.ended_at
            for each in record.gateways.suspensions
            if each.subject == sent.gateway
            and each.overlaps(sent.sent_at, result.ended_at)
        ),
        default=sent.sent_at,
    )
    return result.ended_at - resumed_at > LOSS_SLACK_S


def has_timed_out(record: SoakRecord, result: RequestResult) -> bool:
    """Return whether a request lasted for the shortest timeout of its route."""
    is_stream = result.sent.route in STREAMED_ROUTES
    timeout_s = min(
        (each.stream_timeout_s if is_stream else each.timeout_s)
        for each in record.changes
    )
    return result.ended_at - min(result.began_at, result.sent.sent_at) >= timeout_s


def _is_killed(record: SoakRecord, result: RequestResult) -> bool:
    """Return whether the gateway was killed while the connection was open."""
    return any(
        each.subject == result.sent.gateway
        and each.overlaps(result.connected_at, result.ended_at)
        for each in record.gateways.kills
    )


def outlasts_stop(
    record: SoakRecord, result: RequestResult, runs: Sequence[EndedRun]
) -> bool:
    """Return whether an endpoint was still at work near the end of the grace.

    The request must have come in time.
    """
    stop = last_stop(record, result)
    if stop is None:
        return False
    worked_until = max(
        (_passed_on_at(record, each) for each in runs), default=result.ended_at
    )
    return (
        result.sent.sent_at <= stop.began_at + LATE_REQUESTS_S
        and min(worked_until, result.ended_at) >= stop.began_at + BREAK_OFF_S
    )


def last_stop(record: SoakRecord, result: RequestResult) -> Period | None:
    """Return the stop of its gateway beside which a request ended, if there is one."""
    stops = [
        each
        for each in record.gateways.stops
        if each.subject == result.sent.gateway
        and each.began_at <= result.ended_at <= each.began_at + GRACE_S + AFTER_GRACE_S
    ]
    return max(stops, key=lambda each: each.began_at, default=None)


def _passed_on_at(record: SoakRecord, run: EndedRun) -> float:
    """Return when the end of a run left its endpoint, which may be silent then."""
    return max(
        (
            each.ended_at
            for each in record.endpoints.silences
            if each.subject == run.endpoint and each.overlaps(run.end.at, run.end.at)
        ),
        default=run.end.at,
    )
