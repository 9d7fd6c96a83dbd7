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
    """Hold times that lie before a naming: this process's and what peers told."""

    def __init__(self, looked_at: float) -> None:
        self.looked_at = looked_at
        self._heard_by_node: dict[str, float] = {}

    def hear(self, node: str, named_from: float) -> None:
        """Take a time from a peer."""
        # A report that was long under way makes the time too late.
        known = self._heard_by_node.get(node, math.inf)
        self._heard_by_node[node] = min(known, named_from)

    @property
    def at(self) -> float:
        """Return the latest of the times, which is the nearest to the naming."""
        return max(self.looked_at, *self._heard_by_node.values(), UNKNOWN_TIME)


class WeightsView:
    """Follow the named weights and the plans; times are in epoch seconds."""

    def __init__(self) -> None:
        self.named_by_model: dict[str, NamedWeights] = {}
        self._namings_by_model: dict[str, dict[int, _Naming]] = {}
        self.plans_by_model: dict[str, SeenPlan] = {}
        self._changing_since_by_lifetime: dict[str, float] = {}

    def name(self, weights: NamedWeights, named_from: float) -> bool:
        """Take named weights and say whether they are new; older ones are ignored.

        The time lies before the naming: the last look at which it wasn't there.
        """
        before = self.named_by_model.get(weights.model)
        if before is not None and before.version >= weights.version:
            return False
        self.named_by_model[weights.model] = weights
        namings = self._namings_by_model.setdefault(weights.model, {})
        namings[weights.version] = _Naming(named_from)
        for version in sorted(namings)[:-MAX_NAMINGS]:
            del namings[version]
        return True

    def hear_named(
        self, model: str, version: int, node: str, named_from: float
    ) -> None:
        """Take from a peer a time that lies before the naming of known weights."""
        namings = self._namings_by_model.get(model, {})
        if version in namings:
            namings[version].hear(node, named_from)

    def named_since(self, since: float) -> tuple[tuple[NamedWeights, float], ...]:
        """Return the weights named after a time, with this process's own look before.

        What peers told isn't passed on; it would grow later with each report.
        """
        return tuple(
            (NamedWeights(model, version), naming.looked_at)
            for model, namings in self._namings_by_model.items()
            for version, naming in namings.items()
            if naming.looked_at > since
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
