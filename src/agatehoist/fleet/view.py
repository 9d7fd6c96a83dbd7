"""Local view of the endpoint entries in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.fleet.statements import EndpointStatements
from agatehoist.protocol.node_reports import endpoint_key
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.fleet.types import Endpoint
    from agatehoist.storage.revisions import Revision

# Entries that expired during a store outage are back within about two seconds.
STORE_RETURN_GRACE_S = 2.5
# Weights version of an endpoint that lists none; versions start at 1.
UNKNOWN_VERSION = 0


class EndpointsView:
    """Track the endpoint entries in the store; times are in epoch seconds."""

    def __init__(self, statements: EndpointStatements | None = None) -> None:
        self._statements = statements or EndpointStatements()
        self.revision = NO_REVISION
        self.by_name: dict[str, Endpoint] = {}
        self._removed_at_by_name: dict[str, float] = {}
        self._observed_versions: dict[tuple[str, str], int] = {}
        self._grace_ends_at = 0.0
        self._ended: list[Endpoint] = []

    def start_grace_period(self, now: float) -> None:
        """Keep entries that are missing after an outage for `STORE_RETURN_GRACE_S`."""
        self._grace_ends_at = now + STORE_RETURN_GRACE_S

    def replace(
        self, endpoints: Iterable[Endpoint], revision: Revision, now: float
    ) -> None:
        """Replace all entries by a complete list."""
        listed = {each.name: each for each in endpoints}
        for name in self.by_name.keys() - listed.keys():
            self.remove(name, now)
        for endpoint in listed.values():
            self.put(endpoint)
        self.revision = revision

    def put(self, endpoint: Endpoint) -> None:
        """Add or update an entry."""
        before = self.by_name.get(endpoint.name)
        if before is not None and before.lifetime != endpoint.lifetime:
            self._end_lifetime(before)
        self._removed_at_by_name.pop(endpoint.name, None)
        self.by_name[endpoint.name] = endpoint

    def remove(self, name: str, now: float) -> None:
        """Remove an entry, at once or when the grace period after an outage ends."""
        if name in self.by_name:
            self._removed_at_by_name.setdefault(name, max(now, self._grace_ends_at))

    def serving(self, service: str, now: float) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may get new work."""
        self._drop_expired(now)
        return tuple(
            each
            for each in self.by_name.values()
            if each.service == service and not self.is_leaving(each, now)
        )

    def is_leaving(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint leaves, by its entry or by its own answers."""
        if endpoint.leaving:
            return True
        return self._statements.is_leaving(endpoint_key(endpoint.lifetime), now)

    def version_of(self, endpoint: Endpoint, model: str) -> int:
        """Return the newest known weights version of an endpoint."""
        listed = endpoint.versions_by_model.get(model, UNKNOWN_VERSION)
        return max(
            listed,
            self._observed_versions.get((endpoint.lifetime, model), UNKNOWN_VERSION),
        )

    def note_version(self, endpoint: Endpoint, model: str, version: int) -> None:
        """Record a weights version observed at an endpoint."""
        key = (endpoint.lifetime, model)
        self._observed_versions[key] = max(version, self._observed_versions.get(key, 0))

    def pop_ended(self) -> tuple[Endpoint, ...]:
        """Return the endpoints whose lifetimes have ended since the last call."""
        popped, self._ended = tuple(self._ended), []
        return popped

    def _drop_expired(self, now: float) -> None:
        ended = [name for name, at in self._removed_at_by_name.items() if at <= now]
        for name in ended:
            del self._removed_at_by_name[name]
            self._end_lifetime(self.by_name.pop(name))

    def _end_lifetime(self, endpoint: Endpoint) -> None:
        self._ended.append(endpoint)
        self._forget_versions(endpoint)

    def _forget_versions(self, endpoint: Endpoint) -> None:
        for key in [
            key for key in self._observed_versions if key[0] == endpoint.lifetime
        ]:
            del self._observed_versions[key]
