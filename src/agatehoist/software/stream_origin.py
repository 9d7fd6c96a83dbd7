"""Choice of the software version at which a request for a stream may run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.endpoint_choice import has_usable
from agatehoist.observability.metrics import RESUMED_STREAMS_TOTAL
from agatehoist.refusals.kinds import OriginUnknown, VersionGone
from agatehoist.routing.types import RouteKind
from agatehoist.software.assignment import assigned_software
from agatehoist.software.origins import JournalNeed, Origin, journal_need
from agatehoist.software.resumption import FoundOrigin, OriginEvidence, find_origin
from agatehoist.software.shares_topic import SHARES_TOPIC
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.offer_search import OfferSearch
    from agatehoist.gateway.state import GatewayState
    from agatehoist.refusals.types import Refusal
    from agatehoist.routing.types import RoutedRequest
    from agatehoist.software.journal import JournaledVersions
    from agatehoist.software.types import ShareRecord

# A journal may lack an entry for so long after the first event.
JOURNAL_LAG_S = 0.25
# The store, which can't be read, may be back after this time.
STORE_RETRY_S = 1.0
# Nothing will change: neither does the version come back, nor is a journal written
# that lacks the stream. The caller is to ask for a new stream.
FINAL_RETRY_S = 0.1


class StreamOrigin:
    """Bind the search of one request to a version, and record where a stream begins.

    A stream that is resumed goes on at the version that began it. A new one begins at
    the version that its id is assigned to, elsewhere only if that has no endpoint.
    """

    def __init__(
        self, state: GatewayState, request: RoutedRequest, search: OfferSearch
    ) -> None:
        self._state = state
        self._request = request
        self._search = search
        envelope, route = request.envelope, request.route
        self._is_bound = route.kind is RouteKind.STREAM and route.resumable
        self._is_resumption = (
            envelope.last_event_id is not None
            or envelope.resumed_request_id is not None
        )
        self._found: FoundOrigin | None = None
        self._are_journals_read = False
        self._has_begun = False

    async def choose(self) -> Refusal | None:
        """Bind the next search to a version, or return why the request can't run."""
        if self._is_resumption and self._is_bound and not self._has_begun:
            return await self._choose_origin()
        self.choose_for_replacement()
        return None

    def choose_for_replacement(self) -> None:
        """Bind the next search of a new stream to a version without waiting."""
        if not self._is_bound or self._is_resumption or self._has_begun:
            return
        record, software = self._record, None
        if record is not None:
            request_id = self._request.envelope.request_id
            software = assigned_software(record.periods[-1], request_id)
        tried = frozenset(self._search.tried_lifetimes)
        if software is not None and not has_usable(
            self._state, self._request, tried, software
        ):
            self._search.steps.append(f"no endpoint left of software {software}")
            software = None
        self._search.software = software

    def note_sent(self, endpoint: Endpoint) -> None:
        """Journal a stream that others couldn't resume before its first event."""
        request_id = self._request.envelope.request_id
        if not self._is_bound or self._is_resumption or self._has_begun:
            return
        need = self._need(request_id, endpoint)
        if need is not JournalNeed.NONE:
            expires_at = self._request.deadline
            self._state.journal.add(request_id, endpoint.software, expires_at, need)

    def note_first_event(self, endpoint: Endpoint) -> None:
        """Record the version at which the stream began, before its first event."""
        self._has_begun = True
        envelope = self._request.envelope
        request_id = envelope.resumed_request_id
        if request_id is None and not self._is_resumption:
            request_id = envelope.request_id
        if not self._is_bound or request_id is None:
            return
        origins, service = self._state.origins, self._request.service
        expires_at = self._request.deadline
        known = origins.by_request_id.get(request_id)
        if known is not None and known.software == endpoint.software:
            expires_at = max(expires_at, known.expires_at)
        origin = Origin(service, endpoint.software, expires_at)
        origins.note(request_id, origin, self._state.clock.now())
        need = self._need(request_id, endpoint)
        # An entry may name the version of an endpoint that has sent no event.
        if need is JournalNeed.NONE and self._state.journal.holds(request_id):
            need = JournalNeed.AT_ONCE
        if need is not JournalNeed.NONE:
            self._state.journal.add(request_id, endpoint.software, expires_at, need)

    @property
    def _record(self) -> ShareRecord | None:
        return self._state.shares.records_by_service.get(self._request.service)

    @property
    def _is_unrecorded(self) -> bool:
        """Return whether the store has no record, as far as it has been read."""
        revisions = self._state.feed.revisions_by_topic
        is_read = revisions.get(SHARES_TOPIC, NO_REVISION) != NO_REVISION
        return is_read and self._record is None

    def _need(self, request_id: str, endpoint: Endpoint) -> JournalNeed:
        now = self._state.clock.now()
        return journal_need(
            self._record, request_id, endpoint.software, now, self._is_unrecorded
        )

    async def _choose_origin(self) -> Refusal | None:
        is_first = self._found is None
        if self._found is None:
            self._found = self._find_in_memory() or await self._find_elsewhere()
        refusal = self._refusal(self._found)
        if self._found is not None and refusal is None:
            self._search.software = self._found.software
        if is_first:
            self._record_outcome(self._found, refusal)
        return refusal

    def _refusal(self, found: FoundOrigin | None) -> Refusal | None:
        """Return why a stream can't go on, None if it can."""
        now, envelope = self._state.clock.now(), self._request.envelope
        if found is None:
            resumed = envelope.resumed_request_id or "a stream without an id"
            number = "none" if self._record is None else str(self._record.number)
            detail = f"{resumed}: its software version isn't known, shares {number}"
            is_final = self._are_journals_read and self._record is not None
            retry_at = now + (FINAL_RETRY_S if is_final else STORE_RETRY_S)
            return OriginUnknown.refuse(detail, retry_at).refusal
        if found.software not in self._listed():
            service = self._request.service
            detail = f"no endpoint of {service} has software {found.software}"
            return VersionGone.refuse(detail, now + FINAL_RETRY_S).refusal
        return None

    def _record_outcome(
        self, found: FoundOrigin | None, refusal: Refusal | None
    ) -> None:
        steps, outcome = self._search.steps, ""
        if found is not None:
            outcome = found.source
            steps.append(f"resumes at software {found.software}, from {found.source}")
        if refusal is not None:
            outcome = refusal.code
            steps.append(refusal.detail)
        RESUMED_STREAMS_TOTAL.inc({"outcome": outcome})

    def _find_in_memory(self) -> FoundOrigin | None:
        request_id = self._request.envelope.resumed_request_id
        if request_id is None:
            return None
        software = self._state.origins.find(
            request_id, self._request.service, self._state.clock.now()
        )
        return None if software is None else FoundOrigin(software, "memory")

    async def _find_elsewhere(self) -> FoundOrigin | None:
        journaled = await self._state.journal_reader.read()
        found = find_origin(self._evidence(journaled))
        if found is None and journaled is not None:
            await anyio.sleep(JOURNAL_LAG_S)
            journaled = await self._state.journal_reader.read()
            found = find_origin(self._evidence(journaled))
        self._are_journals_read = journaled is not None
        return found

    def _evidence(self, journaled: JournaledVersions | None) -> OriginEvidence:
        return OriginEvidence(
            self._request.envelope.resumed_request_id,
            self._record,
            journaled,
            self._is_unrecorded,
            self._listed(),
            self._state.clock.now(),
        )

    def _listed(self) -> frozenset[str]:
        now = self._state.clock.now()
        serving = self._state.fleet.serving(self._request.service, now)
        return frozenset(each.software for each in serving)
