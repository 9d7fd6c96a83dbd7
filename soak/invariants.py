"""Invariants, checked on what callers and endpoints have observed."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from soak.types import Violation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from soak.types import ConfigurationChange, RequestResult

# Every gateway must apply a configuration within this time of its acknowledgement.
IN_FORCE_LIMIT_S = 2.0
# Requests on these routes must run at most once.
AT_MOST_ONCE_ROUTES = frozenset({"post", "credit"})
STREAMED_ROUTES = frozenset({"trace", "credit"})
# Statuses that state that the request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)

INVARIANT_CHECKS: Registry[Callable[..., Iterator[Violation]]] = Registry("promise")


def find_violations(
    results: Sequence[RequestResult],
    run_ids: Sequence[str],
    changes: Sequence[ConfigurationChange],
    stream: bytes,
) -> list[Violation]:
    """Check all invariants and return the violations.

    `run_ids` has a request's id once for each time that an endpoint ran it;
    `stream` is the complete body that every streamed response must have.
    """
    counts = Counter(run_ids)
    return [
        violation
        for name in INVARIANT_CHECKS
        for violation in INVARIANT_CHECKS[name](results, counts, changes, stream)
    ]


@INVARIANT_CHECKS.register("once")
def _check_at_most_once(
    results: Sequence[RequestResult],
    run_counts: Counter[str],
    _changes: object,
    _stream: object,
) -> Iterator[Violation]:
    for each in results:
        count = run_counts[each.sent.request_id]
        if each.sent.route in AT_MOST_ONCE_ROUTES and count > 1:
            yield Violation("once", each.sent.request_id, f"{count} runs")


@INVARIANT_CHECKS.register("true")
def _check_refusals(
    results: Sequence[RequestResult],
    run_counts: Counter[str],
    _changes: object,
    _stream: object,
) -> Iterator[Violation]:
    for each in results:
        if each.status in NOT_RUN_STATUSES and run_counts[each.sent.request_id]:
            yield Violation(
                "true", each.sent.request_id, f"{each.status}, but it has run"
            )


@INVARIANT_CHECKS.register("whole")
def _check_bodies(
    results: Sequence[RequestResult],
    _run_counts: object,
    _changes: object,
    stream: bytes,
) -> Iterator[Violation]:
    for each in results:
        if each.status == HTTPStatus.OK and not _is_body_correct(each, stream):
            yield Violation("whole", each.sent.request_id, f"{each.body!r:.200}")


def _is_body_correct(result: RequestResult, stream: bytes) -> bool:
    if result.sent.route in STREAMED_ROUTES:
        return (
            result.body == stream if result.complete else stream.startswith(result.body)
        )
    return not result.complete or result.body.startswith(
        f"{result.sent.request_id} by ".encode()
    )


@INVARIANT_CHECKS.register("in force")
def _check_configuration_in_force(
    results: Sequence[RequestResult],
    _run_counts: object,
    changes: Sequence[ConfigurationChange],
    _stream: object,
) -> Iterator[Violation]:
    for each in results:
        sent = each.sent
        if sent.route != "look":
            continue
        acked_at = min(
            c.acked_at for c in changes if c.path_version == sent.path_version
        )
        replaced_at = min(
            (c.acked_at for c in changes if c.path_version > sent.path_version),
            default=each.ended_at,
        )
        in_force_by = max(acked_at, sent.fault_free_since) + IN_FORCE_LIMIT_S
        if (
            each.status == HTTPStatus.NOT_FOUND
            and in_force_by < sent.sent_at <= replaced_at
        ):
            yield Violation("in force", sent.request_id, f"404 at {sent.gateway}")
