"""Writing of the records of shares, by whichever gateway has the turn."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.routing.types import RouteKind
from agatehoist.software.planning import (
    MIN_PERIOD_S,
    lacks_endpoints,
    next_record,
    reconciled,
    write_delay_s,
)
from agatehoist.software.records import SHARES_KIND, write_record
from agatehoist.software.shares_topic import SHARES_TOPIC, accept_record
from agatehoist.software.types import StoredShares
from agatehoist.storage.backoff import Backoff
from agatehoist.storage.errors import ConflictError, PlatformError
from agatehoist.storage.revisions import NO_REVISION, Revision

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import RoutingTable
    from agatehoist.software.types import ShareRecord
    from agatehoist.storage.objects import StoredValue

logger = get_logger("software")

POLL_INTERVAL_S = 0.25
# For all nodes but the first in the order, which wait anyway. With 1,200 engines of two
# versions a look takes milliseconds.
OTHERS_POLL_INTERVAL_S = 1.0
# After a write that failed, or met a conflict that the topic hasn't brought yet.
FIRST_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 4.0


async def write_shares(state: GatewayState) -> None:
    """Write the records of all services with streams as needed, until cancelled."""
    writer = ShareWriter(state)
    while True:
        first = writer.place == 0
        await anyio.sleep(POLL_INTERVAL_S if first else OTHERS_POLL_INTERVAL_S)
        await writer.write_needed()


@dataclass(frozen=True, slots=True)
class _Need:
    """Hold what a new record is to replace, and when this node may write it.

    Times are those of the event loop, as the clock may step back.
    """

    known_number: int
    stored_at: Revision
    is_urgent: bool
    write_at: float


class ShareWriter:
    """Write new records under compare-and-set, once the need has stood long enough."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._needs_by_service: dict[str, _Need] = {}
        self._retry_at_by_service: dict[str, float] = {}
        # Unless the need is urgent.
        self._next_period_at_by_service: dict[str, float] = {}
        self._backoffs_by_service: dict[str, Backoff] = {}
        # The place found last, with the nodes that it holds for.
        self._place = 0
        self._placed_among: frozenset[Address] = frozenset()
        self._placed_node: Address | None = None

    async def write_needed(self) -> None:
        """Write the records that are due."""
        table = self._state.table
        if table is None or not self._may_write():
            self._needs_by_service.clear()
            return
        for service in services_with_streams(table):
            await self._write_if_due(service)

    def _may_write(self) -> bool:
        # Before the first list of the topic, nobody can tell what the store has.
        is_topic_read = self._state.feed.revisions_by_topic[SHARES_TOPIC] != NO_REVISION
        return self._state.ready and is_topic_read

    async def _write_if_due(self, service: str) -> None:
        known = self._state.shares.records_by_service.get(service)
        if self._is_settled(service, known):
            self._needs_by_service.pop(service, None)
            return
        slots_by_software = usable_slots(self._state, service, self.place == 0)
        record = self._next(service, known, slots_by_software)
        if record is None:
            self._needs_by_service.pop(service, None)
            return
        need = self._need(service, known, lacks_endpoints(known, slots_by_software))
        if anyio.current_time() < need.write_at:
            return
        del self._needs_by_service[service]
        await self._write(record)

    def _is_settled(self, service: str, known: ShareRecord | None) -> bool:
        """Return whether all endpoints have the version that gets all streams.

        This is the usual case, and cheaper to tell than which endpoints are usable.
        """
        if known is None or not self._state.shares.is_stored(service):
            return False
        listed = {
            each.software
            for each in self._state.fleet.by_name.values()
            if each.service == service
        }
        return (
            len(listed) == 1 and listed == known.periods[-1].shares_by_software.keys()
        )

    def _next(
        self,
        service: str,
        known: ShareRecord | None,
        slots_by_software: Counter[str],
    ) -> ShareRecord | None:
        now = self._state.clock.now()
        if known is None:
            return next_record(None, service, slots_by_software, now)
        if self._state.shares.is_stored(service):
            return next_record(known, service, slots_by_software, now)
        stored = self._state.shares.stored_by_service.get(service)
        base = reconciled(known, stored.record if stored else None, now)
        changed = next_record(base, service, slots_by_software, now)
        return changed or replace(base, number=base.number + 1)

    def _need(self, service: str, known: ShareRecord | None, is_urgent: bool) -> _Need:
        """Return the need for a new record, which begins anew with each record."""
        known_number = known.number if known is not None else 0
        stored = self._state.shares.stored_by_service.get(service)
        stored_at = stored.revision if stored is not None else NO_REVISION
        need = self._needs_by_service.get(service)
        is_same = need is not None and (need.known_number, need.stored_at) == (
            known_number,
            stored_at,
        )
        if need is None or not is_same or (is_urgent and not need.is_urgent):
            write_at = self._write_at(service, is_urgent)
            if need is not None and is_same:
                write_at = min(write_at, need.write_at)
            need = _Need(known_number, stored_at, is_urgent, write_at)
            self._needs_by_service[service] = need
        return need

    def _write_at(self, service: str, is_urgent: bool) -> float:
        delay_s = write_delay_s(
            self.place, len(self._state.nodes), is_urgent, self._state.rng.random()
        )
        not_before = self._retry_at_by_service.get(service, 0.0)
        if not is_urgent:
            next_period_at = self._next_period_at_by_service.get(service, 0.0)
            not_before = max(not_before, next_period_at)
        return max(anyio.current_time() + delay_s, not_before)

    @property
    def place(self) -> int:
        """Return the place of this node in the order in which nodes write.

        Until any node is listed, this one counts as the first; a node that the list
        lacks is the last.
        """
        nodes, own = self._state.nodes, self._state.settings.inner
        if (nodes, own) != (self._placed_among, self._placed_node):
            ordered = sorted(nodes, key=str)
            self._place = ordered.index(own) if own in nodes else len(ordered)
            self._placed_among, self._placed_node = nodes, own
        return self._place

    async def _write(self, record: ShareRecord) -> None:
        """Write a record if the store still has what is known of it."""
        service = record.service
        try:
            value = await self._put(record)
        except PlatformError as error:
            self._note_failure(service, error)
            return
        self._backoffs_by_service.pop(service, None)
        self._next_period_at_by_service[service] = anyio.current_time() + MIN_PERIOD_S
        stored = StoredShares(record, value.revision)
        self._state.shares.note_stored(service, stored)
        logger.info("shares written", service=service, number=record.number)
        accept_record(self._state, record, value.revision)

    async def _put(self, record: ShareRecord) -> StoredValue:
        store = self._state.store
        spec = write_record(record)
        stored = self._state.shares.stored_by_service.get(record.service)
        if stored is None:
            return await store.create(SHARES_KIND, record.service, spec)
        return await store.replace(SHARES_KIND, record.service, spec, stored.revision)

    def _note_failure(self, service: str, error: PlatformError) -> None:
        if isinstance(error, ConflictError):
            logger.info("shares written by another", service=service, reason=str(error))
        else:
            logger.warning("shares not written", service=service, reason=str(error))
        backoff = self._backoffs_by_service.setdefault(
            service, Backoff(self._state.rng, FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        )
        now = anyio.current_time()
        self._retry_at_by_service[service] = backoff.retry_at(now)


def services_with_streams(table: RoutingTable) -> list[str]:
    """Return the services with engines that routes send streams to."""
    named = {
        weighted.service
        for routes in table.routes_by_host.values()
        for route in routes
        if route.kind is RouteKind.STREAM
        for weighted in route.services
    }
    return sorted(
        name
        for name in named & table.services_by_name.keys()
        if table.services_by_name[name].engines is not None
    )


def usable_slots(
    state: GatewayState, service: str, excludes_suspects: bool
) -> Counter[str]:
    """Return the slots of the endpoints that may get new streams, by version.

    Suspects are excluded unless all endpoints are suspected. Only the node that writes
    first should exclude them: others may suspect endpoints on a path that fails for
    them alone, and would write against it.
    """
    now = state.clock.now()
    serving = state.fleet.serving(service, now)
    usable: tuple[Endpoint, ...] = serving
    if excludes_suspects:
        unsuspected = tuple(
            each for each in serving if not state.suspects.is_suspected(each.name, now)
        )
        usable = unsuspected or serving
    slots_by_software: Counter[str] = Counter()
    for each in usable:
        # An endpoint that states no slots counts as one.
        slots_by_software[each.software] += max(1, each.slots)
    return slots_by_software
