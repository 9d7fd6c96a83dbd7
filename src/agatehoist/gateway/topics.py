"""Kinds of object that a gateway follows, and what it does with each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry
from agatehoist.errors import AgatehoistError
from agatehoist.gateway.plans import PLAN_KIND, read_plan
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import CONFIGURATION_REVISION
from agatehoist.weights.types import SeenPlan
from agatehoist.weights.view import UNKNOWN_TIME

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import ObjectKinds
    from agatehoist.storage.objects import Changes, Listing, StoredValue

logger = get_logger("gateway")


class Topic(Protocol):
    """Take what the store says of one kind of object.

    A watch that waits counts as a call, but one that went silent is noticed only at its
    end, in seconds.
    """

    watch_s: float

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of object."""

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Take a whole list."""

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Take changes in order."""


TOPICS: Registry[type[Topic]] = Registry("topic")


class EachValue:
    """Treat a list like writes of all its objects."""

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Take one object."""
        raise NotImplementedError

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Take a whole list."""
        for value in listing.values:
            self.put(state, value)

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Take changes in order; removals mean nothing here."""
        for each in changes.changes:
            if not each.removed:
                self.put(state, each.value)


@TOPICS.register("configuration")
class ConfigurationTopic(EachValue):
    """Take the newest accepted configuration, never an older one."""

    watch_s = 4.0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of object."""
        return kinds.configuration

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Take one object."""
        try:
            table = state.platform.read_configuration(value.name, value.spec)
        except AgatehoistError as error:
            logger.error("configuration not understood", reason=str(error))
            return
        if table is None:
            return
        before = state.table.version if state.table else 0
        if table.version <= before:
            return
        state.table = table
        state.table_at = state.clock.now()
        CONFIGURATION_REVISION.set({}, table.version)
        logger.info(
            "configuration in force",
            version=table.version,
            before=before,
            revision=value.revision,
        )


@TOPICS.register("endpoints")
class EndpointsTopic:
    """Follow who serves; an entry that can't be read names no endpoint."""

    watch_s = 6.0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of object."""
        return kinds.endpoints

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Take a whole list."""
        read = (_read_endpoint(state, value) for value in listing.values)
        found = [each for each in read if each is not None]
        state.fleet.replace(found, listing.revision, state.clock.now())
        state.forget(state.fleet.pop_ended())
        logger.info("endpoints listed", count=len(found), revision=listing.revision)

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Take changes in order."""
        for each in changes.changes:
            if each.removed:
                self._remove(state, each.value)
            else:
                self._put(state, each.value)
        state.fleet.revision = changes.revision
        state.forget(state.fleet.pop_ended())
        state.drivers.consider_moves()

    def _put(self, state: GatewayState, value: StoredValue) -> None:
        endpoint = _read_endpoint(state, value)
        if endpoint is None:
            state.fleet.remove(value.name, state.clock.now())
            return
        state.fleet.put(endpoint)
        logger.info(
            "endpoint listed",
            endpoint=endpoint.lifetime,
            leaving=endpoint.leaving,
            weights=endpoint.versions_by_model,
            revision=value.revision,
        )

    def _remove(self, state: GatewayState, value: StoredValue) -> None:
        state.fleet.remove(value.name, state.clock.now())
        logger.info("endpoint removed", endpoint=value.name, revision=value.revision)


@TOPICS.register("weights")
class WeightsTopic(EachValue):
    """Follow the weights that operators name."""

    watch_s = 4.0

    def __init__(self) -> None:
        self._news_at = UNKNOWN_TIME

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of object."""
        return kinds.weights

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Take one object."""
        self._take(state, value, state.clock.now(), seen=True)

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Take a whole list; what is new in it was named since the last news."""
        for value in listing.values:
            self._take(state, value, self._news_at, seen=False)
        self._news_at = state.clock.now()

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Take changes in order."""
        super().change(state, changes)
        self._news_at = state.clock.now()

    def _take(
        self, state: GatewayState, value: StoredValue, at: float, seen: bool
    ) -> None:
        try:
            named = state.platform.read_weights(value.spec)
        except AgatehoistError as error:
            logger.error("weights not understood", name=value.name, reason=str(error))
            return
        if state.weights.name(named, at, seen):
            logger.info("weights named", model=named.model, version=named.version)
            state.work.set()


@TOPICS.register("plans")
class PlansTopic(EachValue):
    """Follow the roll-outs of weights."""

    watch_s = 10.0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of object."""
        return PLAN_KIND

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Take one object."""
        try:
            plan = read_plan(value.spec)
        except AgatehoistError as error:
            logger.error("plan not understood", name=value.name, reason=str(error))
            return
        state.see_plan(SeenPlan(plan, value.revision, state.clock.now()))


def _read_endpoint(state: GatewayState, value: StoredValue) -> Endpoint | None:
    try:
        return state.platform.read_endpoint(value.name, value.spec)
    except AgatehoistError as error:
        logger.warning("entry left out", endpoint=value.name, reason=str(error))
        return None
