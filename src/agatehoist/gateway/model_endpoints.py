"""The endpoints of one model with their last known weights versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.weights.waves import WaveCandidate, wave_share

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState


class ModelEndpoints:
    """Query the endpoints that serve a model and get new requests."""

    def __init__(self, state: GatewayState, model: str) -> None:
        self.model = model
        self._state = state

    @property
    def target(self) -> int:
        """Return the target weights version of the model."""
        return self._state.weights.target(self.model)

    def all(self) -> tuple[Endpoint, ...]:
        """Return all endpoints of the model, without those that are leaving."""
        table = self._state.table
        if table is None:
            return ()
        now = self._state.clock.now()
        return tuple(
            endpoint
            for service in table.services_by_name.values()
            if service.engines and self.model in service.engines.models
            for endpoint in self._state.fleet.serving(service.name, now)
        )

    def find(self, lifetime: str) -> Endpoint | None:
        """Return the endpoint with this lifetime id, or None if it is gone."""
        return next((each for each in self.all() if each.lifetime == lifetime), None)

    def version(self, endpoint: Endpoint) -> int:
        """Return the last known weights version of an endpoint."""
        return self._state.fleet.version_of(endpoint, self.model)

    def has_outdated(self) -> bool:
        """Return whether any endpoint has older weights than the target."""
        return any(self.version(each) < self.target for each in self.all())

    def oldest_version(self) -> int:
        """Return the oldest weights version of the endpoints, or 0."""
        return min((self.version(each) for each in self.all()), default=0)

    def lifetimes_with_version(self, version: int) -> tuple[str, ...]:
        """Return the lifetimes of the endpoints with at least a weights version."""
        return tuple(
            each.lifetime for each in self.all() if self.version(each) >= version
        )

    def reachable_candidates(self) -> tuple[WaveCandidate, ...]:
        """Return the endpoints that aren't suspected of having failed.

        A wave would wait in vain for one that doesn't respond.
        """
        now = self._state.clock.now()
        return tuple(
            WaveCandidate(each.lifetime, self.version(each))
            for each in self.all()
            if not self._state.suspects.is_suspected(each.name, now)
        )

    def current_wave_share(self) -> float:
        """Return the share that may change at a time; it grows towards the deadline."""
        oldest = self.oldest_version()
        now = self._state.clock.now()
        since = self._state.weights.outdated_since(self.model, oldest, now)
        return wave_share(now - since, self._state.settings.weights_in_force_s)
