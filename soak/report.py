"""Reports on a seed for those who trace its violations."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.types import SeedResult, SoakRecord


def format_result(result: SeedResult) -> Iterator[str]:
    """Yield the lines of a report on a seed."""
    counts = result.requests_by_status
    statuses = ", ".join(f"{status} {counts[status]}" for status in sorted(counts))
    yield f"seed {result.seed}: {len(result.violations)} broken; {statuses}"
    yield f"  {' '.join(result.injected_faults)}"
    if result.resumptions_counted:
        served, counted = result.resumptions_served, result.resumptions_counted
        yield f"  {served} of {counted} resumptions went on"
    for each in result.violations:
        yield f"  {each.invariant}: {each.subject} {each.detail}".rstrip()


def format_timeline(record: SoakRecord) -> Iterator[str]:
    """Yield all that was observed, one line each, by its epoch time."""
    entries: list[tuple[float, str]] = []
    endpoints, gateways = record.endpoints, record.gateways
    for name, periods in (
        ("gateway fault", gateways.faults),
        ("kill", gateways.kills),
        ("stop", gateways.stops),
        ("suspension", gateways.suspensions),
        ("path fault", endpoints.path_faults),
        ("silence", endpoints.silences),
    ):
        for each in periods:
            entries.append((each.began_at, f"{name} of {each.subject} begins"))
            entries.append((each.ended_at, f"{name} of {each.subject} ends"))
    entries += [
        (each.acked_at, f"configuration {each.path_version}, {each.timeout_s} s")
        for each in record.changes
    ]
    entries += [(each.at, f"crash by {each.request_id}") for each in record.crashes]
    entries += [
        (each.at, f"{each.request_id} arrives at {each.endpoint}")
        for each in endpoints.arrivals
    ]
    entries += [
        (run.end.at, f"{run.end.request_id} ends at {run.endpoint}: {run.end}")
        for run in endpoints.ended_runs
    ]
    for result in record.results:
        entries.append((result.sent.sent_at, f"{result.sent} sent"))
        entries.append((result.ended_at, f"{result.sent.request_id} ended: {result}"))
    offset_s = time.time() - time.monotonic()
    for at, text in sorted(entries):
        yield f"{at + offset_s:.3f} {text}"
