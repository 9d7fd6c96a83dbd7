"""State of the fleet as the routers see it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.orders.types import Ledger
from agatehoist.storage.budget import ALLOWANCES_BY_PURPOSE

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Hold what one router knows of an endpoint."""

    host: str
    kind: str
    serves: str
    data_centre: str
    listed_state: str
    leaving: bool
    suspected: bool


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """Hold what one router tells of itself; times are in epoch seconds."""

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
        """Return the calls a second for a purpose since the start."""
        seconds = max(1.0, self.taken_at - self.started_at)
        return self.platform_calls_by_purpose.get(purpose, 0) / seconds


@dataclass(frozen=True, slots=True)
class EndpointLine:
    """Add up what all routers know of an endpoint."""

    view: EndpointView
    leaving_routers: int
    suspecting_routers: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Hold the state of the fleet at a glance."""

    routers: tuple[RouterStatus, ...]
    endpoints: tuple[EndpointLine, ...]
    ledger: Ledger | None

    @property
    def newest_revision(self) -> int:
        """Return the highest revision in force anywhere."""
        return max(router.revision for router in self.routers)


def merge_status(
    routers: Iterable[RouterStatus], ledger: Ledger | None = None
) -> FleetStatus:
    """Return the state of the fleet from that of its routers."""
    ordered = tuple(sorted(routers, key=lambda each: each.node))
    views_by_host: dict[str, list[EndpointView]] = {}
    for router in ordered:
        for view in router.endpoints:
            views_by_host.setdefault(view.host, []).append(view)
    lines = tuple(
        EndpointLine(
            views[0],
            sum(view.leaving for view in views),
            sum(view.suspected for view in views),
        )
        for _, views in sorted(views_by_host.items())
    )
    return FleetStatus(ordered, lines, ledger)


def status_lines(status: FleetStatus) -> list[str]:
    """Return the lines that the command prints."""
    lines = [f"revision {status.newest_revision}, {len(status.routers)} routers"]
    lines += [_router_line(router, status.newest_revision) for router in status.routers]
    lines.append(f"{len(status.endpoints)} endpoints")
    lines += [_endpoint_line(line) for line in status.endpoints]
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


def _endpoint_line(line: EndpointLine) -> str:
    view = line.view
    words = [view.listed_state]
    if line.leaving_routers:
        words.append(f"says it leaves to {line.leaving_routers} routers")
    if line.suspecting_routers:
        words.append(f"suspected by {line.suspecting_routers} routers")
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
    lines = [f"{len(ledger.leases)} weight loads run"]
    lines += [f"  {each.host} to {each.target}" for each in ledger.leases]
    for name, rollout in sorted(ledger.rollouts_by_name.items()):
        failed = ", ".join(f"{e.host}: {e.reason}" for e in rollout.failures)
        stopped = f"  failed on {failed}" if failed else ""
        lines.append(f"  {name} to {rollout.target}: {rollout.loaded} loaded{stopped}")
    return lines
