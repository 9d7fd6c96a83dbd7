"""Invariants on planned stops, whose times count from the signal of the operator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.answer_invariants import (
    has_timed_out,
    is_broken_off,
    last_stop,
    outlasts_stop,
    was_read,
)
from soak.invariants import INVARIANT_CHECKS
from soak.types import GRACE_S, Violation
from standins.users_platform.prompts import STABLE_S

if TYPE_CHECKING:
    from collections.abc import Iterator, Set

    from soak.types import RequestResult, SoakRecord


@INVARIANT_CHECKS.register("stops in time")
def _check_durations(record: SoakRecord) -> Iterator[Violation]:
    """Check that processes that are told to stop end within the grace."""
    for stop in record.gateways.stops:
        is_suspended = any(
            each.subject == stop.subject and each.overlaps(stop.began_at, stop.ended_at)
            for each in record.gateways.suspensions
        )
        lasted_s = stop.ended_at - stop.began_at
        if lasted_s > GRACE_S and not is_suspended:
            yield Violation("stops in time", stop.subject, f"{lasted_s:.2f} s")


@INVARIANT_CHECKS.register("lost in a stop")
def _check_requests_in_stops(record: SoakRecord) -> Iterator[Violation]:
    """Check that a stop ends no request early that was read whole."""
    endpoints_by_id: dict[str, set[str]] = {}
    for arrival in record.endpoints.arrivals:
        endpoints_by_id.setdefault(arrival.request_id, set()).add(arrival.endpoint)
    runs_by_id = record.runs_by_id()
    for each in record.results:
        if each.complete or each.has_left or not each.sent_whole:
            continue
        request_id = each.sent.request_id
        endpoints = endpoints_by_id.get(request_id, set())
        runs = runs_by_id[request_id]
        stop = last_stop(record, each)
        if (
            stop is not None
            and (endpoints or was_read(record, each))
            and not _is_impaired(record, each, endpoints)
            and not is_broken_off(record, each, runs)
            and not has_timed_out(record, each)
            and not (endpoints and outlasts_stop(record, each, runs))
        ):
            sent_s, ended_s = (
                at - stop.began_at for at in (each.sent.sent_at, each.ended_at)
            )
            detail = f"status {each.status}, sent at {sent_s:+.2f} s, cut at"
            detail += f" {ended_s:+.2f} s of the stop of {each.sent.gateway}"
            yield Violation("lost in a stop", request_id, detail)


def _is_impaired(
    record: SoakRecord, result: RequestResult, endpoints: Set[str]
) -> bool:
    """Return whether unplanned trouble came shortly before a request or beside it."""
    sent = result.sent
    gateways, paths = record.gateways, record.endpoints.path_faults
    return any(
        each.overlaps(sent.sent_at - STABLE_S, result.ended_at)
        for each in (
            *(p for p in gateways.kills if p.subject == sent.gateway),
            *(p for p in gateways.suspensions if p.subject == sent.gateway),
            *(p for p in paths if p.subject in endpoints),
        )
    )
