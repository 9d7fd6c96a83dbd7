"""Invariants on streams that callers take up, and on software versions of engines."""

from __future__ import annotations

from collections import defaultdict
from http import HTTPStatus
from typing import TYPE_CHECKING

from soak.invariants import INVARIANT_CHECKS
from soak.types import Violation
from standins.users_platform.endpoint import DOWN_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.types import RequestResult, SoakRecord

# A gateway is asked for its share of resumptions once it has been up for 3 s, of which
# its process takes up to one to start.
UP_S = 4.0
# Resumptions from which on their share counts, and engines that must serve for them.
MIN_RESUMPTIONS = 12
MIN_ENGINES = 2
# Until gateways send requests to an endpoint again that was down, silent or cut off.
RETURN_S = DOWN_S + 2.0


@INVARIANT_CHECKS.register("versions in an answer")
def _check_versions_in_answers(record: SoakRecord) -> Iterator[Violation]:
    """Check that no answer holds events from two software versions."""
    for each in record.results:
        if len(each.software) > 1:
            detail = " ".join(each.software)
            yield Violation("versions in an answer", each.sent.request_id, detail)


@INVARIANT_CHECKS.register("versions over resumptions")
def _check_versions_over_resumptions(record: SoakRecord) -> Iterator[Violation]:
    """Check that a stream goes on only at the software version that began it."""
    for first, *resumptions in _streams(record):
        for each in resumptions:
            others = [name for name in each.software if name not in first.software]
            if others:
                request_id = each.sent.request_id
                detail = f"{' '.join(others)} at {each.sent.gateway}, after"
                detail += f" {first.sent.request_id} of {' '.join(first.software)}"
                yield Violation("versions over resumptions", request_id, detail)


@INVARIANT_CHECKS.register("resumptions")
def _check_share_of_resumptions(record: SoakRecord) -> Iterator[Violation]:
    """Check that at least half of the resumptions go on that can."""
    served, counted = count_resumptions(record)
    if counted >= MIN_RESUMPTIONS and 2 * served < counted:
        yield Violation("resumptions", "", f"{served} of {counted} went on")


def count_resumptions(record: SoakRecord) -> tuple[int, int]:
    """Return how many resumptions went on, and how many should have."""
    resumptions = [
        each
        for first, *later in _streams(record)
        for each in later
        if not each.has_left
        and _is_up(record, each)
        and _count_serving(record, first.software[0], each) >= MIN_ENGINES
    ]
    served = sum(e.status == HTTPStatus.OK and e.complete for e in resumptions)
    return served, len(resumptions)


def _streams(record: SoakRecord) -> Iterator[list[RequestResult]]:
    """Yield the attempts of each stream that was taken up, in their order."""
    firsts_by_id = {each.sent.request_id: each for each in record.results}
    resumptions_by_id: defaultdict[str, list[RequestResult]] = defaultdict(list)
    for each in record.results:
        if each.sent.resumes:
            resumptions_by_id[each.sent.resumes].append(each)
    for request_id, resumptions in resumptions_by_id.items():
        first = firsts_by_id[request_id]
        # Events of faulty answers don't name a version.
        if first.software:
            yield [first, *resumptions]


def _is_up(record: SoakRecord, result: RequestResult) -> bool:
    """Return whether the gateway of a request was up long enough before its end."""
    sent, gateways = result.sent, record.gateways
    return not any(
        each.subject == sent.gateway
        and each.overlaps(sent.sent_at - UP_S, result.ended_at)
        for each in (*gateways.down, *gateways.suspensions, *gateways.kills)
    )


def _count_serving(record: SoakRecord, software: str, result: RequestResult) -> int:
    """Return how many engines of a version were up and took requests all the time."""
    began_at, ended_at = result.sent.sent_at - RETURN_S, result.ended_at
    endpoints = record.endpoints
    disturbed = {
        each.subject
        for each in (*endpoints.path_faults, *endpoints.silences)
        if each.overlaps(began_at, ended_at)
    }
    disturbed |= {
        each.endpoint
        for each in endpoints.periods
        if each.began_at <= ended_at and began_at <= each.ended_at
    }
    # Gateways plan a change of weights before they order it.
    disturbed |= {
        each.subject
        for each in endpoints.weights_changes
        if each.overlaps(began_at, ended_at + RETURN_S)
    }
    return sum(
        each.software == software
        and each.period.began_at <= began_at
        and each.period.ended_at >= ended_at
        and each.period.subject not in disturbed
        for each in endpoints.services
    )
