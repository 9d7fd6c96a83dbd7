"""What a gateway remembers for the placement of requests; it may be lost."""

from __future__ import annotations

from agatehoist.cache.part_fetches import HeldPrompts
from agatehoist.placement.home_weights import HomeWeights
from agatehoist.placement.popularity import PartRates


class PlacementState:
    """Hold the rates of parts, the weights of endpoints and recent searches."""

    def __init__(self) -> None:
        self.held_prompts = HeldPrompts()
        self.part_rates = PartRates()
        self.home_weights = HomeWeights()

    def forget(self, lifetime: str) -> None:
        """Drop what is known of an endpoint that has ended."""
        self.home_weights.forget(lifetime)
