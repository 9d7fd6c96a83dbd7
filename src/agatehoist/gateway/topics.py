"""Topics: the kinds of stored object that a gateway watches, with their handlers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry
from agatehoist.errors import AgatehoistError
from agatehoist.gateway.plans import PLAN_KIND, read_plan
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import CONFIGURATION_REVISION
from agatehoist.weights.types import SeenPlan
from agatehoist.weights.view import UNKNOWN_TIME

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import ObjectKinds
    from agatehoist.storage.objects import Changes, Listing, StoredValue

logger = get_logger("gateway")


class Topic(Protocol):
    """Handle lists and changes of one kind of stored object.

    `watch_s` is the duration of one watch. A longer watch costs fewer calls to the
    store, but a dead connection is noticed only when the watch ends. While the process
    starts, a watch follows a change after at least `startup_batch_delay_s`.
    """

    watch_s: float
    startup_batch_delay_s: float

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Apply a whole list."""

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Apply changes in order."""


TOPICS: Registry[type[Topic]] = Registry("topic")
WEIGHTS_TOPIC = "weights"


@contextmanager
def one_object(kind: str, name: str) -> Iterator[None]:
    """Log the exception that ends the handling of one object; others are handled."""
    try:
        yield
    except Exception:
        logger.exception("object not applied", kind=kind, name=name)


class PerObjectTopic:
    """Handle each object of a list like a changed object."""

    startup_batch_delay_s = 0.0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""
        raise NotImplementedError

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Apply one object."""
        raise NotImplementedError

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Apply a whole list."""
        for value in listing.values:
            with one_object(self.kind(state.platform.kinds), value.name):
                self.put(state, value)

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Apply changes in order; removals are ignored."""
        for each in changes.changes:
            if not each.removed:
                with one_object(self.kind(state.platform.kinds), each.value.name):
                    self.put(state, each.value)


@TOPICS.register("configuration")
class ConfigurationTopic(PerObjectTopic):
    """Apply the newest valid configuration, never an older one."""

    watch_s = 4.0

    def __init__(self) -> None:
        # The era of the store that the configuration in force is from.
        self._era = 0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""
        return kinds.configuration

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Apply one object."""
        try:
            table = state.platform.read_configuration(value.name, value.spec)
        except AgatehoistError as error:
            logger.error("invalid configuration ignored", reason=str(error))
            return
        if table is None:
            return
        before = state.table.version if state.table else 0
        # Versions are ordered across eras too, as operators write again what a restore
        # has lost. One that is given out again in a later era has replaced the first.
        is_given_again = (
            table.version == before
            and value.revision.era > self._era
            and table != state.table
        )
        if table.version <= before and not is_given_again:
            return
        self._era = value.revision.era
        state.table = table
        state.table_loaded_at = state.clock.now()
        CONFIGURATION_REVISION.set({}, table.version)
        logger.info(
            "configuration in force",
            version=table.version,
            before=before,
            revision=str(value.revision),
        )


@TOPICS.register("endpoints")
class EndpointsTopic:
    """Track the endpoints; an entry that can't be parsed counts as removed."""

    watch_s = 6.0
    # When all machines start together, the endpoints register one after the other.
    startup_batch_delay_s = 0.5

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""
        return kinds.endpoints

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Apply a whole list."""
        read = (_read_endpoint(state, value) for value in listing.values)
        found = [each for each in read if each is not None]
        state.fleet.replace(found, listing.revision, state.clock.now())
        state.forget(state.fleet.pop_ended())
        logger.info(
            "endpoints listed", count=len(found), revision=str(listing.revision)
        )

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Apply changes in order."""
        for each in changes.changes:
            with one_object(self.kind(state.platform.kinds), each.value.name):
                if each.removed:
                    self._remove(state, each.value)
                else:
                    self._put(state, each.value)
        state.fleet.revision = changes.revision
        state.forget(state.fleet.pop_ended())

    def _put(self, state: GatewayState, value: StoredValue) -> None:
        endpoint = _read_endpoint(state, value)
        if endpoint is None:
            state.fleet.remove(value.name, state.clock.now())
            return
        state.fleet.put(endpoint, state.clock.now())
        # Logged for each entry that is added or changed.
        logger.info(
            "endpoint listed",
            endpoint=endpoint.lifetime,
            leaving=endpoint.leaving,
            weights=endpoint.versions_by_model,
            software=endpoint.software,
            revision=str(value.revision),
        )

    def _remove(self, state: GatewayState, value: StoredValue) -> None:
        now = state.clock.now()
        used_until = state.fleet.remove(value.name, now)
        logger.info(
            "endpoint removed",
            endpoint=value.name,
            revision=str(value.revision),
            used_for_s=round(used_until - now, 2),
        )


@TOPICS.register(WEIGHTS_TOPIC)
class WeightsTopic(PerObjectTopic):
    """Track the target weights that operators set."""

    watch_s = 4.0

    def __init__(self) -> None:
        self._last_read_at = UNKNOWN_TIME

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""
        return kinds.weights

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Apply one object."""
        self._record_target(state, value, state.clock.now(), observed=True)

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Apply a whole list.

        A target that is new in it was set at some time after the previous read. The
        time of that read is recorded for it, so that older weights are never used for
        too long.
        """
        for value in listing.values:
            with one_object(self.kind(state.platform.kinds), value.name):
                self._record_target(state, value, self._last_read_at, observed=False)
        self._last_read_at = state.clock.now()

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Apply changes in order."""
        super().change(state, changes)
        self._last_read_at = state.clock.now()

    def _record_target(
        self, state: GatewayState, value: StoredValue, at: float, observed: bool
    ) -> None:
        try:
            target = state.platform.read_weights(value.spec)
        except AgatehoistError as error:
            logger.error(
                "invalid target weights ignored", name=value.name, reason=str(error)
            )
            return
        if state.weights.set_target(target, at, observed):
            logger.info("weights named", model=target.model, version=target.version)
            state.rollout_wakeup.set()


@TOPICS.register("plans")
class PlansTopic(PerObjectTopic):
    """Track the plans of weights roll-outs."""

    watch_s = 10.0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""
        return PLAN_KIND

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Apply one object."""
        record_stored_plan(state, value)

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Apply a whole list; a plan that isn't on it any more has been lost."""
        record_listed_plans(state, listing)


def record_listed_plans(state: GatewayState, listing: Listing) -> None:
    """Record all stored plans; one that isn't on the list any more has been lost."""
    models = [each.name for each in listing.values]
    state.weights.note_plans_listed(models, listing.revision, state.clock.now())
    for value in listing.values:
        with one_object(PLAN_KIND, value.name):
            record_stored_plan(state, value)


def record_stored_plan(state: GatewayState, value: StoredValue) -> None:
    """Record a plan as read from the store; one that can't be parsed is ignored."""
    try:
        plan = read_plan(value.spec)
    except AgatehoistError as error:
        logger.error("invalid plan ignored", name=value.name, reason=str(error))
        return
    if plan.model != value.name:
        reason = f"it names the model {plan.model}"
        logger.error("invalid plan ignored", name=value.name, reason=reason)
        return
    state.record_plan(SeenPlan(plan, value.revision, state.clock.now()))


def _read_endpoint(state: GatewayState, value: StoredValue) -> Endpoint | None:
    with one_object(state.platform.kinds.endpoints, value.name):
        try:
            return state.platform.read_endpoint(value.name, value.spec)
        except AgatehoistError as error:
            logger.warning(
                "invalid endpoint entry ignored",
                endpoint=value.name,
                reason=str(error),
            )
    return None
