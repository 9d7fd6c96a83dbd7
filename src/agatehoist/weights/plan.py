"""What a process believes about named weights and the roll-outs under way."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from agatehoist.weights.types import NamedWeights

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.weights.types import SeenPlan

# A change of weights that takes longer has failed, so its endpoint may be tried.
MAX_CHANGE_S = 5.0
# When weights were named that a process finds at its start: maybe long before.
UNKNOWN_TIME = -math.inf
# Namings of a model that are remembered with their times.
MAX_NAMINGS = 16


class _Naming:
    """Hold when weights were seen to be named, here or by the first peer that told.

    Nobody sees a naming before it happens, so the earliest such time is the nearest.
    What was found in a list counts from the look before until anybody has seen it.
    """

    def __init__(self, at: float, seen: bool) -> None:
        self.at = at
        self.seen_here_at = at if seen else None
        self._is_seen = seen

    def hear(self, seen_at: float) -> None:
        """Take from a peer when it saw the naming."""
        self.at = min(self.at, seen_at) if self._is_seen else seen_at
        self._is_seen = True


class WeightsView:
    """Follow the named weights and the plans; times are in epoch seconds."""

    def __init__(self) -> None:
        self.named_by_model: dict[str, NamedWeights] = {}
        self._namings_by_model: dict[str, dict[int, _Naming]] = {}
        self.plans_by_model: dict[str, SeenPlan] = {}
        self._changing_since_by_lifetime: dict[str, float] = {}

    def name(self, weights: NamedWeights, at: float, seen: bool = True) -> bool:
        """Take named weights and say whether they are new; older ones are ignored.

        The time is when the naming was seen, or else the last look before.
        """
        before = self.named_by_model.get(weights.model)
        if before is not None and before.version >= weights.version:
            return False
        self.named_by_model[weights.model] = weights
        namings = self._namings_by_model.setdefault(weights.model, {})
        namings[weights.version] = _Naming(at, seen)
        for version in sorted(namings)[:-MAX_NAMINGS]:
            del namings[version]
        return True

    def hear_named(self, model: str, version: int, seen_at: float) -> None:
        """Take from a peer when it saw the naming of known weights."""
        namings = self._namings_by_model.get(model, {})
        if version in namings:
            namings[version].hear(seen_at)

    def seen_since(self, since: float) -> tuple[tuple[NamedWeights, float], ...]:
        """Return the weights whose naming this process has seen after a time.

        What peers told isn't passed on, as it would change a little each time.
        """
        return tuple(
            (NamedWeights(model, version), naming.seen_here_at)
            for model, namings in self._namings_by_model.items()
            for version, naming in namings.items()
            if naming.seen_here_at is not None and naming.seen_here_at > since
        )

    def see(self, seen: SeenPlan) -> bool:
        """Take a plan and say whether it is newer than the one known."""
        before = self.plans_by_model.get(seen.plan.model)
        if before is not None and before.revision >= seen.revision:
            return False
        self.plans_by_model[seen.plan.model] = seen
        since = self._changing_since_by_lifetime
        changing = {
            lifetime
            for each in self.plans_by_model.values()
            for lifetime in each.plan.changing
        }
        self._changing_since_by_lifetime = {
            lifetime: since.get(lifetime, seen.seen_at) for lifetime in changing
        }
        return True

    def note_changed(self, model: str, lifetime: str) -> None:
        """Note ahead of the next plan that an endpoint has taken its weights."""
        seen = self.plans_by_model.get(model)
        if seen is None or lifetime not in seen.plan.changing:
            return
        plan = seen.plan
        changing = tuple(each for each in plan.changing if each != lifetime)
        changed = (*plan.changed, lifetime)
        plan = replace(plan, changing=changing, changed=changed)
        self.plans_by_model[model] = replace(seen, plan=plan)

    def changing_since(self, endpoint: Endpoint, now: float) -> float | None:
        """Return since when an endpoint gets no new work for its change of weights."""
        if not self.is_changing(endpoint, now):
            return None
        return self._changing_since_by_lifetime.get(endpoint.lifetime)

    def target(self, model: str) -> int:
        """Return the weights version that a model should have, or 0."""
        named = self.named_by_model.get(model)
        return named.version if named else 0

    def waiting_since(self, model: str, version: int, now: float) -> float:
        """Return when the first weights newer than a version were named."""
        namings = self._namings_by_model.get(model, {})
        return min((each.at for v, each in namings.items() if v > version), default=now)

    def required_version(self, model: str, named_until: float) -> int:
        """Return the newest weights version that was named until a time, or 0."""
        namings = self._namings_by_model.get(model, {})
        named = (v for v, each in namings.items() if each.at <= named_until)
        return max(named, default=0)

    def is_changing(self, endpoint: Endpoint, now: float) -> bool:
        """Say whether an endpoint is about to take new weights, or takes them."""
        return any(
            endpoint.lifetime in seen.plan.changing
            and now < seen.seen_at + MAX_CHANGE_S
            for seen in self.plans_by_model.values()
        )
