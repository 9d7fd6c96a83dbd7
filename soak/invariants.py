"""Invariants on all requests, checked on what callers and endpoints observed."""

from __future__ import annotations

import bisect
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from soak.configurations import (
    AT_MOST_ONCE_ROUTES,
    OVERUSER,
    OVERUSER_BURST,
    OVERUSER_RATE_PER_S,
    OVERUSER_ROUTE,
    STREAMED_ROUTES,
)
from soak.types import Violation
from standins.users_platform.endpoint import Ending
from standins.users_platform.processes import BOUNDS
from standins.users_platform.prompts import STABLE_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from soak.types import EndedRun, ReceivedOrder, RequestResult, SoakRecord

# Every gateway must apply a configuration within this time of its acknowledgement.
IN_FORCE_LIMIT_S = 2.0
# Orders of two holders to an endpoint are at least so far apart, LeaseMs.
ORDER_TURN_S = 3.0
# An endpoint bears one and a half times its limit in a window, and 5 requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
# The first request after an endpoint has begun to say that it leaves may be a late one.
MAX_LEAVING_ARRIVALS = 1
# Statuses that state that the request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)

# Faults of the stand-ins whose answer ends where its connection does; some say that the
# request has not run.
UNFRAMED_FAULTS = frozenset(
    {
        "endless_unframed",
        "endless_failure",
        "endless_rejection",
        "endless_misdirection",
    }
)

INVARIANT_CHECKS: Registry[Callable[[SoakRecord], Iterator[Violation]]] = Registry(
    "promise"
)


@INVARIANT_CHECKS.register("statements")
def _check_statements(record: SoakRecord) -> Iterator[Violation]:
    """Check that gateways without a fault keep to what endpoints say of themselves."""
    sent_by_id = {each.sent.request_id: each.sent for each in record.results}
    for period in record.endpoints.periods:
        known_at = period.began_at + STABLE_S
        times = [
            each.at
            for each in record.endpoints.arrivals
            if each.endpoint == period.endpoint
            and known_at < each.at <= period.ended_at
            and (sent := sent_by_id.get(each.request_id)) is not None
            and sent.sent_at > max(known_at, sent.fault_free_since + STABLE_S)
        ]
        if period.kind == "leaving" and len(times) > MAX_LEAVING_ARRIVALS:
            yield Violation("leaving", period.endpoint, f"{len(times)} arrivals")
        allowed = LIMIT_TOLERANCE * period.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max(
            (sum(at <= t < at + LIMIT_WINDOW_S for t in times) for at in times),
            default=0,
        )
        if period.kind == "limit" and most > allowed:
            detail = f"{most} arrivals, {allowed:.0f} allowed"
            yield Violation("limit", period.endpoint, detail)


@INVARIANT_CHECKS.register("allotment")
def _check_allotment(record: SoakRecord) -> Iterator[Violation]:
    """Check that the overuser's requests that reach endpoints stay within its bound.

    A request counts once, whatever number of endpoints gets it.
    """
    ids = {e.sent.request_id for e in record.results if e.sent.route == OVERUSER_ROUTE}
    first_at_by_id: dict[str, float] = {}
    for each in sorted(record.endpoints.arrivals, key=lambda arrival: arrival.at):
        if each.request_id in ids:
            first_at_by_id.setdefault(each.request_id, each.at)
    times = list(first_at_by_id.values())
    window_s = BOUNDS["QuotaWindowS"]
    allotted = OVERUSER_RATE_PER_S * window_s + OVERUSER_BURST
    allowed = allotted * (1 + BOUNDS["QuotaOverage"]) + BOUNDS["QuotaSlack"]
    ends = (bisect.bisect_right(times, at + window_s) for at in times)
    most = max((end - index for index, end in enumerate(ends)), default=0)
    if most > allowed:
        detail = f"{most} requests in {window_s} s, {allowed:.0f} allowed"
        yield Violation("allotment", OVERUSER, detail)


@INVARIANT_CHECKS.register("orders")
def _check_tokens(record: SoakRecord) -> Iterator[Violation]:
    """Check that fencing tokens don't go back, and that each is of one holder."""
    highest = 0
    holders_by_token: dict[int, str] = {}
    for order in sorted(record.endpoints.orders, key=lambda each: each.at):
        if order.token < highest:
            detail = f"token {order.token} after {highest}"
            yield Violation("orders", order.holder, detail)
        highest = max(highest, order.token)
        first = holders_by_token.setdefault(order.token, order.holder)
        if first != order.holder:
            yield Violation("orders", order.holder, f"has the token of {first}")


@INVARIANT_CHECKS.register("turns")
def _check_turns(record: SoakRecord) -> Iterator[Violation]:
    """Check that an endpoint gets orders of two holders only well apart.

    An order may be held back by a fault of its path, or of the process that sent it.
    """
    last_by_endpoint: dict[str, ReceivedOrder] = {}
    endpoints, gateways = record.endpoints, record.gateways
    for order in sorted(endpoints.orders, key=lambda each: each.at):
        last = last_by_endpoint.get(order.endpoint)
        last_by_endpoint[order.endpoint] = order
        if not order.endpoint or last is None or last.holder == order.holder:
            continue
        gap_s = order.at - last.at
        held_back = any(
            each.subject in (order.endpoint, last.holder)
            and each.overlaps(last.at - ORDER_TURN_S, last.at)
            for each in (
                *endpoints.path_faults,
                *endpoints.silences,
                *gateways.suspensions,
            )
        )
        if gap_s < ORDER_TURN_S and not held_back:
            detail = f"{order.endpoint} {gap_s:.2f} s after {last.holder}"
            yield Violation("turns", order.holder, detail)


@INVARIANT_CHECKS.register("once")
def _check_at_most_once(record: SoakRecord) -> Iterator[Violation]:
    run_counts = Counter(record.run_ids)
    for each in record.results:
        count = run_counts[each.sent.request_id]
        if each.sent.route in AT_MOST_ONCE_ROUTES and count > 1:
            yield Violation("once", each.sent.request_id, f"{count} runs")


@INVARIANT_CHECKS.register("true")
def _check_refusals(record: SoakRecord) -> Iterator[Violation]:
    run_counts = Counter(record.run_ids)
    runs_by_id = record.runs_by_id()
    for each in record.results:
        if each.status not in NOT_RUN_STATUSES or not run_counts[each.sent.request_id]:
            continue
        if not any(map(_ended_by_crash, runs_by_id[each.sent.request_id])):
            yield Violation(
                "true", each.sent.request_id, f"{each.status}, but it has run"
            )


@INVARIANT_CHECKS.register("whole")
def _check_bodies(record: SoakRecord) -> Iterator[Violation]:
    runs_by_id = record.runs_by_id()
    for each in record.results:
        if each.status != HTTPStatus.OK or _is_body_correct(record, each):
            continue
        if not any(map(_ended_by_crash, runs_by_id[each.sent.request_id])):
            yield Violation("whole", each.sent.request_id, f"{each.body!r:.200}")


def _is_body_correct(record: SoakRecord, result: RequestResult) -> bool:
    if result.sent.route in STREAMED_ROUTES:
        stream = record.stream_of(result.sent)
        return (
            result.body == stream if result.complete else stream.startswith(result.body)
        )
    return not result.complete or result.body.startswith(
        f"{result.sent.request_id} by ".encode()
    )


def _ended_by_crash(run: EndedRun) -> bool:
    """Return whether a crash ended an answer as complete."""
    return run.end.fault in UNFRAMED_FAULTS and run.end.ending is Ending.CRASHED


@INVARIANT_CHECKS.register("in force")
def _check_configuration_in_force(record: SoakRecord) -> Iterator[Violation]:
    for each in record.results:
        sent = each.sent
        if sent.route != "look":
            continue
        acked_at = min(
            c.acked_at for c in record.changes if c.path_version == sent.path_version
        )
        replaced_at = min(
            (c.acked_at for c in record.changes if c.path_version > sent.path_version),
            default=each.ended_at,
        )
        in_force_by = max(acked_at, sent.fault_free_since) + IN_FORCE_LIMIT_S
        if (
            each.status == HTTPStatus.NOT_FOUND
            and in_force_by < sent.sent_at <= replaced_at
        ):
            yield Violation("in force", sent.request_id, f"404 at {sent.gateway}")
