"""Local view of the target weights and of the roll-outs in progress."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from agatehoist.weights.types import TargetWeights

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.fleet.types import Endpoint
    from agatehoist.storage.revisions import Revision
    from agatehoist.weights.types import SeenPlan

# A longer change of weights counts as failed, and its endpoint gets new work again.
MAX_CHANGE_S = 5.0
# Target time of weights found at the start of a process, which may be much older.
UNKNOWN_TIME = -math.inf
# Number of target versions per model whose times are kept.
MAX_TARGETS = 16
# Number of versions reported by peers that are kept until the store has named them.
MAX_UNREAD_TARGETS = 64


class _TargetTime:
    """Hold the estimated time at which a version became the target.

    No process observes the change before it happens, so the earliest observation, here
    or at a peer, is the closest estimate. A version that was found in a list has the
    time of the read before it until some process reports that it observed the change.
    """

    def __init__(self, at: float, observed: bool) -> None:
        self.at = at
        self.observed_here_at = at if observed else None
        self._is_observed = observed

    def merge(self, seen_at: float) -> None:
        """Merge the time at which a peer observed the change."""
        self.at = min(self.at, seen_at) if self._is_observed else seen_at
        self._is_observed = True


class WeightsView:
    """Track target weights and roll-out plans; times are in epoch seconds."""

    def __init__(self) -> None:
        self.targets_by_model: dict[str, TargetWeights] = {}
        self._target_times_by_model: dict[str, dict[int, _TargetTime]] = {}
        # When peers observed versions that haven't been read from the store.
        self._unread_target_times: dict[TargetWeights, float] = {}
        # Versions that all endpoints had when they were last compared.
        self._versions_in_force_by_model: dict[str, int] = {}
        # The newest plan of each model, which a restored store may have lost, and the
        # one that the store has.
        self.plans_by_model: dict[str, SeenPlan] = {}
        self.stored_plans_by_model: dict[str, SeenPlan] = {}
        self.plans_era = 0
        # When the plans were first read in their era.
        self.plans_listed_at = 0.0
        self._changing_since_by_lifetime: dict[str, float] = {}

    def set_target(
        self, weights: TargetWeights, at: float, observed: bool = True
    ) -> bool:
        """Set the target weights of a model, unless they are older than the known ones.

        Returns whether they are new. `at` is the time at which the change was
        observed, or that of the last read before if `observed` is false.
        """
        known = self.targets_by_model.get(weights.model)
        if known is not None and known.version >= weights.version:
            return False
        self.targets_by_model[weights.model] = weights
        times_by_version = self._target_times_by_model.setdefault(weights.model, {})
        times_by_version[weights.version] = _TargetTime(at, observed)
        told_at = self._unread_target_times.pop(weights, None)
        if told_at is not None:
            times_by_version[weights.version].merge(told_at)
        for version in sorted(times_by_version)[:-MAX_TARGETS]:
            del times_by_version[version]
        return True

    def merge_target_time(self, model: str, version: int, seen_at: float) -> None:
        """Merge the time at which a peer observed a target version.

        A process that started after a version had been replaced doesn't know of it, but
        no request may begin on still older weights for long.
        """
        times_by_version = self._target_times_by_model.get(model, {})
        if version < self.target(model) and len(times_by_version) < MAX_TARGETS:
            times_by_version.setdefault(version, _TargetTime(seen_at, observed=False))
        if version in times_by_version:
            times_by_version[version].merge(seen_at)
        elif version > self.target(model):
            self._note_unread_target(TargetWeights(model, version), seen_at)

    def _note_unread_target(self, weights: TargetWeights, seen_at: float) -> None:
        times = self._unread_target_times
        if weights in times or len(times) < MAX_UNREAD_TARGETS:
            times[weights] = min(seen_at, times.get(weights, seen_at))

    def reported_version(self, model: str, set_by: float) -> int:
        """Return the newest version that peers saw become the target by a time, or 0.

        It is for a process that hasn't read the targets: those of peers are no targets.
        """
        return max(
            (
                weights.version
                for weights, at in self._unread_target_times.items()
                if weights.model == model and at <= set_by
            ),
            default=0,
        )

    def replaced_at(self, model: str, version: int, unknown_at: float) -> float:
        """Return when a newer version than one was first the target, or infinity.

        A version of which the time isn't known counts as set at `unknown_at`.
        """
        times_by_version = self._target_times_by_model.get(model, {})
        return min(
            (
                unknown_at if each.at == UNKNOWN_TIME else each.at
                for newer, each in times_by_version.items()
                if newer > version
            ),
            default=math.inf,
        )

    def reported_replaced_at(self, model: str, version: int) -> float:
        """Return when peers first saw a newer version, not read here, or infinity."""
        return min(
            (
                at
                for weights, at in self._unread_target_times.items()
                if weights.model == model and weights.version > version
            ),
            default=math.inf,
        )

    def note_in_force(self, model: str, version: int) -> None:
        """Record that all endpoints of a model have at least a version."""
        before = self._versions_in_force_by_model.get(model, 0)
        self._versions_in_force_by_model[model] = max(before, version)

    def is_in_force(self, weights: TargetWeights) -> bool:
        """Return whether all endpoints are known to have a version or a newer one."""
        in_force = self._versions_in_force_by_model.get(weights.model, 0)
        return in_force >= weights.version

    def targets_seen_since(
        self, since: float
    ) -> tuple[tuple[TargetWeights, float], ...]:
        """Return the targets that this process itself observed after a given time.

        Times from peers aren't forwarded, as each hop would alter them slightly.
        """
        return tuple(
            (TargetWeights(model, version), target_time.observed_here_at)
            for model, times_by_version in self._target_times_by_model.items()
            for version, target_time in times_by_version.items()
            if target_time.observed_here_at is not None
            and target_time.observed_here_at > since
        )

    def note_plans_listed(
        self, models: Iterable[str], revision: Revision, now: float
    ) -> None:
        """Record for which models the store has plans, as of a list's revision."""
        listed = frozenset(models)
        self.stored_plans_by_model = {
            model: seen
            for model, seen in self.stored_plans_by_model.items()
            if model in listed or seen.revision > revision
        }
        if revision.era != self.plans_era:
            self.plans_era, self.plans_listed_at = revision.era, now

    def accept_plan(self, seen: SeenPlan) -> bool:
        """Record the stored plan; return whether it is newer than the known one.

        A restored store has plans that are older than the known ones.
        """
        stored = self.stored_plans_by_model.get(seen.plan.model)
        if stored is None or stored.revision < seen.revision:
            self.stored_plans_by_model[seen.plan.model] = seen
        known = self.plans_by_model.get(seen.plan.model)
        if known is not None and known.plan.order >= seen.plan.order:
            return False
        self.plans_by_model[seen.plan.model] = seen
        since_by_lifetime = self._changing_since_by_lifetime
        changing = {
            lifetime
            for each in self.plans_by_model.values()
            for lifetime in each.plan.changing
        }
        self._changing_since_by_lifetime = {
            lifetime: since_by_lifetime.get(lifetime, seen.seen_at)
            for lifetime in changing
        }
        return True

    def note_changed(self, model: str, lifetime: str) -> None:
        """Mark an endpoint as changed before the next plan is read."""
        seen = self.plans_by_model.get(model)
        if seen is None or lifetime not in seen.plan.changing:
            return
        plan = seen.plan
        changing = tuple(each for each in plan.changing if each != lifetime)
        changed = (*plan.changed, lifetime)
        plan = replace(plan, changing=changing, changed=changed)
        self.plans_by_model[model] = replace(seen, plan=plan)

    def changing_since(self, endpoint: Endpoint, now: float) -> float | None:
        """Return when an endpoint stopped getting new work for a weights change."""
        if not self.is_changing(endpoint, now):
            return None
        return self._changing_since_by_lifetime.get(endpoint.lifetime)

    def target(self, model: str) -> int:
        """Return the target weights version of a model, or 0."""
        target_weights = self.targets_by_model.get(model)
        return target_weights.version if target_weights else 0

    def outdated_since(self, model: str, version: int, now: float) -> float:
        """Return when a target newer than a version was first set, or else `now`."""
        times_by_version = self._target_times_by_model.get(model, {})
        return min(
            (each.at for v, each in times_by_version.items() if v > version),
            default=now,
        )

    def required_version(self, model: str, set_by: float) -> int:
        """Return the newest version that was the target by a given time, or 0."""
        times_by_version = self._target_times_by_model.get(model, {})
        versions = (v for v, each in times_by_version.items() if each.at <= set_by)
        return max(versions, default=0)

    def known_required_version(self, model: str, set_by: float) -> int:
        """Return the required version without those whose times aren't known."""
        times_by_version = self._target_times_by_model.get(model, {})
        versions = (
            version
            for version, each in times_by_version.items()
            if UNKNOWN_TIME < each.at <= set_by
        )
        return max(versions, default=0)

    def is_changing(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint is loading new weights or is about to."""
        return any(
            endpoint.lifetime in seen.plan.changing
            and now < seen.seen_at + MAX_CHANGE_S
            for seen in self.plans_by_model.values()
        )
