"""Directory of the endpoints that a router can use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.clock import SystemClock
from agatehoist.membership.departures import Departures
from agatehoist.placement.types import Candidate
from agatehoist.storage.types import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.core.clock import Clock
    from agatehoist.storage.types import HostEntry

# Kinds of endpoint: a model engine, and a plain service without a model.
ENGINE = "engine"
SERVICE = "service"


class EndpointDirectory:
    """Index the host list by kind of endpoint and name of its model or service."""

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._departures = Departures()
        self.hosts_by_name: dict[str, HostEntry] = {}
        self._live: tuple[Candidate, ...] = ()
        self._candidates_by_kind_and_name: dict[
            tuple[str, str], tuple[Candidate, ...]
        ] = {}

    def replace(self, entries: Iterable[HostEntry]) -> None:
        """Replace the host list."""
        self.hosts_by_name = {entry.host: entry for entry in entries}
        self._departures.keep_only(frozenset(self.hosts_by_name))
        self._index()

    def note_leaving(self, host: str) -> None:
        """Avoid a host that reported that it takes no new work."""
        self._departures.note_leaving(host, self._clock.now())

    def is_leaving(self, host: str) -> bool:
        """Return whether a host recently reported that it takes no new work."""
        return self._departures.is_excluded(host, self._clock.now())

    def live(self) -> tuple[Candidate, ...]:
        """Return all live endpoints."""
        return self._live

    def candidates(self, kind: str, serves: str) -> tuple[Candidate, ...]:
        """Return the live endpoints of a kind for a model or a service.

        `serves` is the name of the model or the service.
        """
        listed = self._candidates_by_kind_and_name.get((kind, serves), ())
        excluded = self._departures.excluded(self._clock.now())
        if not excluded:
            return listed
        not_excluded = tuple(each for each in listed if each.host not in excluded)
        # A host that loads weights also reports that it takes no new work and may be
        # ready again, so all listed hosts are returned if no other is left.
        return not_excluded or listed

    def split_by_region(
        self, candidates: Iterable[Candidate], region: str
    ) -> tuple[tuple[Candidate, ...], tuple[Candidate, ...]]:
        """Return the candidates inside a region and those elsewhere."""
        near: list[Candidate] = []
        far: list[Candidate] = []
        for candidate in candidates:
            entry = self.hosts_by_name.get(candidate.host)
            inside = entry is not None and entry.region == region
            (near if inside else far).append(candidate)
        return tuple(near), tuple(far)

    def _index(self) -> None:
        candidates_by_kind_and_name: dict[tuple[str, str], list[Candidate]] = {}
        live: list[Candidate] = []
        for entry in self.hosts_by_name.values():
            if entry.state is HostState.LIVE:
                candidate = Candidate(entry.host, entry.data_centre)
                live.append(candidate)
                candidates_by_kind_and_name.setdefault(
                    (entry.kind, entry.serves), []
                ).append(candidate)
        self._live = tuple(live)
        self._candidates_by_kind_and_name = {
            key: tuple(each) for key, each in candidates_by_kind_and_name.items()
        }
