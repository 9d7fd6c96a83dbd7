"""What a gateway remembers for the placement of requests; it may be lost."""

from __future__ import annotations

from agatehoist.cache.part_fetches import HeldPrompts
from agatehoist.cache.saved_parts import SavedParts
from agatehoist.placement.home_weights import HomeWeights
from agatehoist.placement.popularity import PartRates
from agatehoist.placement.spill import SpillShare
from agatehoist.placement.transfer_costs import DataCentreDelays, ServiceCosts

# Services come and go with the configuration; the one that was added first is dropped.
MAX_SERVICES = 1024


class ServiceSpill:
    """Hold the share of a service's requests that leave, and what they cost."""

    def __init__(self) -> None:
        self.share = SpillShare()
        self.costs = ServiceCosts()
        # The share that was logged last, in quarters, and the epoch time from which
        # another may be.
        self.logged_quarters = 0
        self.log_again_at = 0.0


class PlacementState:
    """Hold what is known of prompt parts, and the weights of endpoints."""

    def __init__(self) -> None:
        self.saved_parts = SavedParts()
        self.held_prompts = HeldPrompts()
        self.part_rates = PartRates()
        self.home_weights = HomeWeights()
        self.delays = DataCentreDelays()
        self._spills_by_service: dict[str, ServiceSpill] = {}

    def spill(self, service: str) -> ServiceSpill:
        """Return what decides how many requests of a service leave."""
        known = self._spills_by_service.get(service)
        if known is None:
            if len(self._spills_by_service) >= MAX_SERVICES:
                del self._spills_by_service[next(iter(self._spills_by_service))]
            known = self._spills_by_service[service] = ServiceSpill()
        return known

    def forget(self, lifetime: str) -> None:
        """Drop what is known of an endpoint that has ended."""
        self.home_weights.forget(lifetime)
