"""Status of the fleet, merged from the reports of its routers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.orders.types import Ledger
from agatehoist.storage.budget import ALLOWANCES_BY_PURPOSE

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Hold one router's view of an endpoint; listed_state is that in the host list."""

    host: str
    kind: str
    serves: str
    data_centre: str
    listed_state: str
    leaving: bool
    suspected: bool


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """Hold one router's status at the time taken_at; times are in epoch seconds."""

    node: str
    data_centre: str
    revision: int
    ready: bool
    leaving: bool
    in_flight: int
    started_at: float
    taken_at: float
    endpoints: tuple[EndpointView, ...]
    platform_calls_by_purpose: dict[str, int]

    def platform_rate(self, purpose: str) -> float:
        """Return the mean platform calls a second for a purpose since the start."""
        seconds = max(1.0, self.taken_at - self.started_at)
        return self.platform_calls_by_purpose.get(purpose, 0) / seconds


@dataclass(frozen=True, slots=True)
class EndpointSummary:
    """Hold the first router's view of an endpoint, and counts over all routers.

    The counts are of the routers that see it shut down or suspect that it has failed.
    """

    view: EndpointView
    leaving_routers: int
    suspecting_routers: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Hold the status of all routers and endpoints, and the ledger if it was read."""

    routers: tuple[RouterStatus, ...]
    endpoints: tuple[EndpointSummary, ...]
    ledger: Ledger | None

    @property
    def newest_revision(self) -> int:
        """Return the highest configuration revision in force on any router."""
        return max(router.revision for router in self.routers)


def merge_status(
    routers: Iterable[RouterStatus], ledger: Ledger | None = None
) -> FleetStatus:
    """Merge the reports of the routers; endpoints are ordered by host."""
    ordered = tuple(sorted(routers, key=lambda each: each.node))
    views_by_host: dict[str, list[EndpointView]] = {}
    for router in ordered:
        for view in router.endpoints:
            views_by_host.setdefault(view.host, []).append(view)
    summaries = tuple(
        EndpointSummary(
            views[0],
            sum(view.leaving for view in views),
            sum(view.suspected for view in views),
        )
        for _, views in sorted(views_by_host.items())
    )
    return FleetStatus(ordered, summaries, ledger)


def status_lines(status: FleetStatus) -> list[str]:
    """Format the status as the lines that the status command prints."""
    lines = [f"revision {status.newest_revision}, {len(status.routers)} routers"]
    lines += [_router_line(router, status.newest_revision) for router in status.routers]
    lines.append(f"{len(status.endpoints)} endpoints")
    lines += [_endpoint_line(summary) for summary in status.endpoints]
    # The rates are sums over the routers; the allowance is that of one router.
    lines.append("platform calls a second, all routers, of the allowance of one")
    lines += _call_lines(status.routers)
    if status.ledger is not None:
        lines += _load_lines(status.ledger)
    return lines


def _router_line(router: RouterStatus, newest: int) -> str:
    words = ["ready" if router.ready else "not ready"]
    if router.leaving:
        words.append("leaving")
    if router.revision < newest:
        words.append(f"behind at revision {router.revision}")
    return (
        f"  {router.node}  {router.data_centre}  {', '.join(words)}"
        f"  {router.in_flight} in flight"
    )


def _endpoint_line(summary: EndpointSummary) -> str:
    view = summary.view
    words = [view.listed_state]
    if summary.leaving_routers:
        words.append(f"says it leaves to {summary.leaving_routers} routers")
    if summary.suspecting_routers:
        words.append(f"suspected by {summary.suspecting_routers} routers")
    where = f"{view.host}  {view.data_centre}  {view.kind} {view.serves}"
    return f"  {where}  {', '.join(words)}"


def _call_lines(routers: tuple[RouterStatus, ...]) -> list[str]:
    lines = []
    for purpose, allowance in ALLOWANCES_BY_PURPOSE.items():
        rate = sum(router.platform_rate(str(purpose)) for router in routers)
        if rate:
            lines.append(f"  {purpose}  {rate:.2f} of {allowance.calls_per_s:g}")
    return lines


def _load_lines(ledger: Ledger) -> list[str]:
    # Each lease is a weight load in progress; `loaded` counts hosts.
    lines = [f"{len(ledger.leases)} weight loads run"]
    lines += [f"  {each.host} to {each.target}" for each in ledger.leases]
    for name, rollout in sorted(ledger.rollouts_by_name.items()):
        failed_hosts = ", ".join(f"{e.host}: {e.reason}" for e in rollout.failures)
        suffix = f"  failed on {failed_hosts}" if failed_hosts else ""
        lines.append(f"  {name} to {rollout.target}: {rollout.loaded} loaded{suffix}")
    return lines
