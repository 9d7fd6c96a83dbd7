"""Invariants on prompt parts and requests that crash endpoints."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from http import HTTPStatus
from typing import TYPE_CHECKING

from soak.configurations import STREAMED_ROUTES
from soak.invariants import INVARIANT_CHECKS
from soak.types import EndedRun, Violation
from standins.users_platform.prompts import MAX_LATE_RUNS, STABLE_S

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from soak.types import RequestResult, SentRequest, SoakRecord

# The crashes after which a deadly part, and a deadly request, must be known.
KNOWN_AFTER_CRASHES = 5
REQUEST_KNOWN_AFTER_CRASHES = 3
# Sound requests must be served at least at this fraction of the usual rate.
MIN_SERVED_FRACTION = 0.5
MIN_SOUND_REQUESTS = 20
# Time in which endpoints come back after a crash, and gateways send to them again.
CRASH_RECOVERY_S = 1.0


@INVARIANT_CHECKS.register("budget")
def _check_runs_on_known_parts(record: SoakRecord) -> Iterator[Violation]:
    run_counts = Counter(record.run_ids)
    for part, requests in _deadly_requests_by_part(record.results).items():
        known_at = _known_at(requests, record, KNOWN_AFTER_CRASHES) + STABLE_S
        runs = sum(
            run_counts[each.request_id]
            for each in requests
            # Gateways out of touch have the same time to learn the part.
            if each.sent_at > max(known_at, each.fault_free_since + STABLE_S)
        )
        if runs > MAX_LATE_RUNS:
            yield Violation("budget", part, f"{runs} runs after it was known")


@INVARIANT_CHECKS.register("lost")
def _check_sound_requests(record: SoakRecord) -> Iterator[Violation]:
    sound = [
        each
        for each in record.results
        if each.sent.route in STREAMED_ROUTES
        and not each.sent.deadly_part
        and each.sent.sent_at > each.sent.fault_free_since + STABLE_S
    ]
    deadly_by_part = _deadly_requests_by_part(record.results)
    first_deadly_at = min(
        (each[0].sent_at for each in deadly_by_part.values()), default=math.inf
    )
    usual = _served_share([r for r in sound if r.sent.sent_at < first_deadly_at])
    for part, requests in deadly_by_part.items():
        known_at = _known_at(requests, record, KNOWN_AFTER_CRASHES)
        settled_at = known_at + 2 * STABLE_S
        late = [r for r in sound if settled_at < r.sent.sent_at < requests[-1].sent_at]
        served = _served_share(late)
        if len(late) >= MIN_SOUND_REQUESTS and served < MIN_SERVED_FRACTION * usual:
            yield Violation("lost", part, f"{served:.0%} of sound ones served")


def _deadly_requests_by_part(
    results: Sequence[RequestResult],
) -> dict[str, list[SentRequest]]:
    by_part: defaultdict[str, list[SentRequest]] = defaultdict(list)
    for each in sorted(results, key=lambda result: result.sent.sent_at):
        if each.sent.deadly_part and each.sent.route in STREAMED_ROUTES:
            by_part[each.sent.deadly_part].append(each.sent)
    return by_part


def _known_at(
    requests: Sequence[SentRequest], record: SoakRecord, crash_count: int
) -> float:
    """Return when requests caused so many crashes, infinity if they caused fewer."""
    ids = {each.request_id for each in requests}
    crashed_at = sorted(each.at for each in record.crashes if each.request_id in ids)
    if len(crashed_at) < crash_count:
        return math.inf
    return crashed_at[crash_count - 1]


def _served_share(results: Sequence[RequestResult]) -> float:
    served = sum(each.status == HTTPStatus.OK and each.complete for each in results)
    return served / len(results) if results else 0.0


@INVARIANT_CHECKS.register("deadly requests")
def _check_known_requests(record: SoakRecord) -> Iterator[Violation]:
    """Check that gateways in touch keep known deadly requests from endpoints."""
    for name, requests in _requests_by_deadly_name(record).items():
        known_at = _known_at(requests, record, REQUEST_KNOWN_AFTER_CRASHES) + STABLE_S
        gateways_by_id = {each.request_id: each.gateway for each in requests}
        late = [
            each
            for each in record.endpoints.arrivals
            if each.request_id in gateways_by_id
            and each.at > known_at
            and _is_in_touch(record, gateways_by_id[each.request_id], each.at)
        ]
        if len(late) > MAX_LATE_RUNS:
            yield Violation("budget", name, f"{len(late)} arrivals after it was known")


@INVARIANT_CHECKS.register("beside deadly requests")
def _check_sound_beside_deadly(record: SoakRecord) -> Iterator[Violation]:
    """Check that sound requests on a route are served beside a known deadly one."""
    runs_by_id = record.runs_by_id()
    sound = [
        each
        for each in record.results
        if not each.sent.deadly_part
        and not each.sent.deadly_request
        and not each.has_left
        and each.sent.sent_at > each.sent.fault_free_since + STABLE_S
        and not _has_other_fault(record, each, runs_by_id[each.sent.request_id])
    ]
    for name, requests in _requests_by_deadly_name(record).items():
        route = [each for each in sound if each.sent.route == requests[0].route]
        known_at = _known_at(requests, record, REQUEST_KNOWN_AFTER_CRASHES)
        settled_at, until = known_at + STABLE_S, requests[-1].sent_at
        late = [each for each in route if settled_at < each.sent.sent_at < until]
        usual = _served_share(
            [each for each in route if each.sent.sent_at < requests[0].sent_at]
        )
        served = _served_share(late)
        if len(late) >= MIN_SOUND_REQUESTS and served < MIN_SERVED_FRACTION * usual:
            yield Violation("lost", name, f"{served:.0%} of sound ones served")


def _requests_by_deadly_name(record: SoakRecord) -> dict[str, list[SentRequest]]:
    by_name: defaultdict[str, list[SentRequest]] = defaultdict(list)
    for each in sorted(record.results, key=lambda result: result.sent.sent_at):
        if each.sent.deadly_request:
            by_name[each.sent.deadly_request].append(each.sent)
    return by_name


def _is_in_touch(record: SoakRecord, gateway: str, at: float) -> bool:
    """Return whether a gateway has had no fault for STABLE_S."""
    return not any(
        each.subject == gateway and each.overlaps(at - STABLE_S, at)
        for each in record.gateways.faults
    )


def _has_other_fault(
    record: SoakRecord, result: RequestResult, runs: Sequence[EndedRun]
) -> bool:
    """Return whether any endpoint had a fault or a limit during a request."""
    began_at, ended_at = result.sent.sent_at, result.ended_at
    endpoints = record.endpoints
    return (
        any(
            each.overlaps(began_at, ended_at)
            for each in (*endpoints.path_faults, *endpoints.silences)
        )
        or any(
            each.began_at <= ended_at and began_at <= each.ended_at
            for each in endpoints.periods
        )
        or any(
            began_at - CRASH_RECOVERY_S <= each.at <= ended_at
            for each in record.crashes
        )
        or any(run.end.fault or run.end.ending.is_of_endpoint for run in runs)
    )
