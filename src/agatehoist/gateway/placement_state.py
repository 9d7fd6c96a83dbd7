"""What a gateway remembers for the placement of requests; it may be lost."""

from __future__ import annotations

from agatehoist.cache.part_fetches import HeldPrompts
from agatehoist.cache.saved_parts import SavedParts
from agatehoist.placement.home_weights import HomeWeights
from agatehoist.placement.popularity import PartRates


class PlacementState:
    """Hold what is known of prompt parts, and the weights of endpoints."""

    def __init__(self) -> None:
        self.saved_parts = SavedParts()
        self.held_prompts = HeldPrompts()
        self.part_rates = PartRates()
        self.home_weights = HomeWeights()

    def forget(self, lifetime: str) -> None:
        """Drop what is known of an endpoint that has ended."""
        self.home_weights.forget(lifetime)
