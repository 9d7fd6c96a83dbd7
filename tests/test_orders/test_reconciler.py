"""Tests of the reconciler, which brings an endpoint to its goal by orders."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any, cast

import anyio
from parameterized import parameterized

from agatehoist.configuration import EndpointRules
from agatehoist.configuration.encoding import pack_record, parse_record
from agatehoist.endpoints.errors import EndpointError, EndpointNotReachedError
from agatehoist.gossip.types import Item, Topic
from agatehoist.orders.errors import OrderError, OrderExpiredError, SupersededError
from agatehoist.sidecar.orders import Reconciler
from agatehoist.storage.errors import PlatformError
from standins.fleet import accepted_record, default_configuration
from tests.test_orders.support import MODEL, FakeEngine, FakeFleet, FakeSidecar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.endpoints.types import EndpointStatus
    from agatehoist.orders.clients import OrderClient
    from agatehoist.storage.client import PlatformClient


def run(
    scenario: Callable[[FakeFleet], Awaitable[None]],
    fencing: bool = False,
    hosts: tuple[str, ...] = ("h1",),
) -> None:
    """Run a scenario with a fleet on one loop."""

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            await scenario(FakeFleet(task_group, hosts, fencing))

    anyio.run(main)


async def run_steps(sidecar: FakeSidecar, steps: int = 6) -> None:
    """Step a sidecar, ignoring the failures that it retries after."""
    for _ in range(steps):
        try:
            await sidecar.reconciler.step()
        except SupersededError:
            return
        except (PlatformError, EndpointError, OrderError):
            continue


def configuration_item(revision: int, weights_version: str) -> Item:
    """Return a configuration as a peer sends it."""
    defaults = default_configuration()
    defaults["models"][MODEL]["weights_version"] = weights_version
    defaults["orders"] = {"capacity_floor": 0.0}
    record = parse_record(accepted_record(defaults), revision)
    return Item(Topic.CONFIGURATION, revision, pack_record(record))


class OrderTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("weights", "2", {}, ["load_weights"]),
            ("adapters", "1", {"adapters": ("b", "a")}, ["set_adapters"]),
            ("role", "1", {"prefill_share": 1.0}, ["set_role"]),
            (
                "all",
                "2",
                {"adapters": ("a",), "prefill_share": 1.0},
                ["load_weights", "set_adapters", "set_role"],
            ),
            ("nothing", "1", {}, []),
        ]
    )
    def test_endpoint_reaches_its_configured_state(
        self, _name: str, version: str, fields: dict[str, Any], expected: list[str]
    ) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure(version, **fields)
            await run_steps(sidecar)
            self.assertEqual([e["order"] for e in engine.order_handler.taken], expected)
            self.assertEqual(sidecar.state.identity.weights_version, version)
            self.assertTrue(sidecar.state.ready)
            self.assertEqual(fleet.platform.ledger().leases, ())
            # One write for the start and two for each order.
            self.assertEqual(fleet.platform.writes, 1 + 2 * len(expected))

        run(scenario)

    @parameterized.expand([(1,), (2,), (3,)])
    def test_order_is_sent_once_despite_lost_platform_answers(self, count: int) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            fleet.platform.lost_answers = count
            await run_steps(sidecar)
            self.assertEqual(
                [e["fencing_number"] for e in engine.order_handler.taken], [1]
            )
            rollout = fleet.platform.ledger().rollouts_by_name[MODEL]
            self.assertEqual((rollout.loaded, rollout.lapsed_hosts), (1, ()))

        run(scenario)

    def test_work_in_flight_is_drained_before_the_load(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            with sidecar.state.in_flight.track():
                fleet.task_group.start_soon(sidecar.reconciler.step)
                await anyio.wait_all_tasks_blocked()
                self.assertFalse(sidecar.state.ready)
                self.assertEqual(engine.order_handler.taken, [])
            await anyio.wait_all_tasks_blocked()
            self.assertTrue(sidecar.state.ready)
            self.assertEqual(sidecar.state.identity.weights_version, "2")

        run(scenario)

    # The engine is asked for its status after the load, and answers or doesn't.
    @parameterized.expand([("answers", False), ("silent", True)])
    def test_no_work_is_accepted_before_the_weights_are_known(
        self, _name: str, silent: bool
    ) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            released = anyio.Event()
            reply = engine.status

            async def reply_late() -> EndpointStatus:
                await released.wait()
                if silent:
                    raise EndpointNotReachedError("down")
                return await reply()

            engine.status = reply_late  # type: ignore[method-assign]
            fleet.task_group.start_soon(run_steps, sidecar)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(engine.engine.weights_version, "2")
            self.assertFalse(sidecar.state.ready)
            released.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(sidecar.state.ready, not silent)
            version = sidecar.state.identity.weights_version
            self.assertEqual(version, "" if silent else "2")

        run(scenario)

    # Revisions with their weights, which are delivered at once and in this order after
    # revision 1 with weights 1.
    @parameterized.expand(
        [
            ("oldest_first", [(2, "2"), (3, "3"), (4, "4")], ["4"]),
            ("newest_first", [(4, "4"), (3, "3"), (2, "2")], ["4"]),
            ("rolled_back", [(2, "2"), (3, "1")], []),
        ]
    )
    def test_replayed_configurations_are_not_loaded_one_by_one(
        self, _name: str, revisions: list[tuple[int, str]], expected: list[str]
    ) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            state = sidecar.state
            reconciler = Reconciler(
                state,
                cast("PlatformClient", fleet.platform),
                cast("OrderClient", engine),
                lambda: state.fleet.configuration,
                fleet.sleep,
            )
            state.gossip.accept_items([configuration_item(1, "1")])
            await reconciler.step()
            state.gossip.accept_items(
                configuration_item(*revision) for revision in revisions
            )
            await run_steps(FakeSidecar(state, reconciler))
            loaded = [
                each["fields"]["weights_version"] for each in engine.order_handler.taken
            ]
            self.assertEqual(loaded, expected)

        run(scenario)

    # The configuration changes while the order waits for the work in flight to end.
    @parameterized.expand(
        [
            ("same_weights", "2", "", ["2"]),
            ("rolled_back", "1", "", []),
            ("newer_weights", "3", "", ["3"]),
            ("pinned", "2", "1", []),
        ]
    )
    def test_weights_that_are_no_longer_wanted_are_not_loaded(
        self, _name: str, version: str, pinned_version: str, expected: list[str]
    ) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            with sidecar.state.in_flight.track():
                fleet.task_group.start_soon(run_steps, sidecar)
                await anyio.wait_all_tasks_blocked()
                self.assertFalse(sidecar.state.ready)
                rules = EndpointRules(weights_version=pinned_version)
                fleet.configure(version, {"h1": rules})
            await anyio.wait_all_tasks_blocked()
            loaded = [
                each["fields"]["weights_version"] for each in engine.order_handler.taken
            ]
            self.assertEqual(loaded, expected)
            self.assertTrue(sidecar.state.ready)
            self.assertEqual(fleet.platform.ledger().leases, ())

        run(scenario)

    def test_no_order_while_the_platform_is_down(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            fleet.platform.down = True
            await run_steps(sidecar)
            self.assertEqual(engine.order_handler.taken, [])
            self.assertTrue(sidecar.state.ready)
            fleet.platform.down = False
            await run_steps(sidecar)
            self.assertEqual(sidecar.state.identity.weights_version, "2")

        run(scenario)

    def test_result_is_recorded_after_an_outage_during_the_load(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")

            async def go_down() -> None:
                fleet.platform.down = True

            engine.before_accepting = go_down
            await run_steps(sidecar)
            self.assertEqual(sidecar.state.identity.weights_version, "2")
            self.assertTrue(sidecar.state.ready)
            fleet.clock.advance_to(1000.0)
            fleet.platform.down = False
            await run_steps(sidecar)
            rollout = fleet.platform.ledger().rollouts_by_name[MODEL]
            self.assertEqual((rollout.loaded, rollout.lapsed_hosts), (1, ()))

        run(scenario)

    # The engine fails to load the version, or stops answering once it has the order.
    @parameterized.expand([("refused",), ("never_ready",)])
    def test_bad_version_stops_the_rollout(self, name: str) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engines = [FakeEngine() for _ in range(3)]
            sidecars = [
                await fleet.start_sidecar(f"h{index}", engine)
                for index, engine in enumerate(engines)
            ]
            fleet.configure("bad" if name == "refused" else "2")

            async def go_down() -> None:
                engines[0].down = True

            if name == "never_ready":
                engines[0].before_accepting = go_down
            for sidecar in sidecars:
                await run_steps(sidecar)
            ordered = [len(engine.order_handler.taken) for engine in engines]
            self.assertEqual(ordered, [1, 0, 0])
            self.assertTrue(all(each.state.ready for each in sidecars[1:]))
            fleet.configure("3")
            engines[0].down = False
            engines[0].before_accepting = None
            for sidecar in sidecars:
                await run_steps(sidecar)
            held = [engine.engine.weights_version for engine in engines]
            self.assertEqual(held, ["3", "3", "3"])

        run(scenario, hosts=("h0", "h1", "h2"))

    def test_failure_of_a_pinned_endpoint_does_not_stop_the_rollout(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engines = [FakeEngine() for _ in range(2)]
            sidecars = [
                await fleet.start_sidecar(f"h{index}", engine)
                for index, engine in enumerate(engines)
            ]
            fleet.configure("2", {"h0": EndpointRules(weights_version="bad")})
            for sidecar in sidecars:
                await run_steps(sidecar)
            self.assertEqual(sidecars[1].state.identity.weights_version, "2")
            self.assertFalse(sidecars[0].state.ready)

        run(scenario, hosts=("h0", "h1"))


class FencingTests(unittest.TestCase):
    @parameterized.expand([("fenced", True), ("unfenced", False)])
    def test_superseded_sidecar_sends_no_order(self, _name: str, fencing: bool) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine(fencing=fencing)
            superseded = await fleet.start_sidecar("h1", engine)
            await superseded.reconciler.step()
            current = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            await run_steps(current)
            # The superseded sidecar also gets a configuration with a higher revision.
            fleet.configure("3")
            with self.assertRaises(SupersededError):
                await superseded.reconciler.step()
            numbers = [each["fencing_number"] for each in engine.order_handler.taken]
            self.assertEqual(numbers, [2])

        run(scenario, fencing)

    def test_sidecar_suspended_until_its_order_expired_sends_nothing(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            await sidecar.reconciler.step()
            fleet.configure("2")

            def suspend(kind: str) -> None:
                if kind == "fencing":
                    fleet.clock.advance_to(fleet.clock.now() + 5)

            fleet.platform.after_get = suspend
            with self.assertRaises(OrderExpiredError):
                await sidecar.reconciler.step()
            self.assertEqual(engine.order_handler.taken, [])

        run(scenario)

    def test_sidecar_suspended_until_its_lease_expired_sends_nothing(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine()
            sidecar = await fleet.start_sidecar("h1", engine)
            fleet.configure("2")
            with sidecar.state.in_flight.track():
                fleet.task_group.start_soon(run_steps, sidecar, 1)
                await anyio.wait_all_tasks_blocked()
                fleet.clock.advance_to(fleet.clock.now() + 500)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(engine.order_handler.taken, [])
            self.assertTrue(sidecar.state.ready)

        run(scenario)

    # The sidecar is suspended after all checks, just before it sends its order. An
    # engine without fencing accepts the order; the current sidecar then sends its own
    # again.
    @parameterized.expand([("fenced", True, [2]), ("unfenced", False, [2, 1, 2])])
    def test_order_sent_after_the_sidecar_was_superseded_has_no_lasting_effect(
        self, _name: str, fencing: bool, expected: list[int]
    ) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            engine = FakeEngine(fencing=fencing)
            superseded = await fleet.start_sidecar("h1", engine)
            await superseded.reconciler.step()
            fleet.configure("2")
            resumed = anyio.Event()
            engine.before_accepting = resumed.wait
            fleet.task_group.start_soon(run_steps, superseded, 1)
            await anyio.wait_all_tasks_blocked()
            engine.before_accepting = None
            current = await fleet.start_sidecar("h1", engine)
            fleet.configure("3")
            await run_steps(current)
            resumed.set()
            await anyio.wait_all_tasks_blocked()
            await run_steps(current)
            numbers = [each["fencing_number"] for each in engine.order_handler.taken]
            self.assertEqual(numbers, expected)
            self.assertEqual(engine.engine.weights_version, "3")

        run(scenario, fencing)
