"""Tests of the client of the platform's store."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.platform.store import OBJECTS_PATH, RELAY_AFTER_S, PlatformStore
from agatehoist.storage.errors import (
    ConflictError,
    HistoryLostError,
    ObjectNotFoundError,
    PlatformUnavailableError,
    RateLimitedError,
)
from agatehoist.storage.revisions import Revision
from standins.raw_replies import RawReply, serve_raw
from standins.users_platform.loopback import HOST, listen_on_loopback
from standins.users_platform.store import PAGE_OBJECTS, StoreStandIn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Scenario = Callable[[StoreStandIn, PlatformStore], Awaitable[object]]


async def _create_twice(_standin: StoreStandIn, store: PlatformStore) -> None:
    await store.create("k", "a", {"x": 1})
    await store.create("k", "a", {"x": 2})


async def _replace_outdated(_standin: StoreStandIn, store: PlatformStore) -> None:
    first = await store.create("k", "a", {"x": 1})
    await store.replace("k", "a", {"x": 2}, first.revision)
    await store.replace("k", "a", {"x": 3}, first.revision)


async def _watch_dropped_history(standin: StoreStandIn, store: PlatformStore) -> None:
    standin.put("k", "a", {})
    standin.put("k", "b", {})
    standin.compact_history()
    await store.watch("k", Revision(0, 1), 1.0)


async def _get_missing(_standin: StoreStandIn, store: PlatformStore) -> None:
    await store.get("k", "a")


async def _list_while_down(standin: StoreStandIn, store: PlatformStore) -> None:
    standin.down = True
    await store.list("k")


async def _watch_while_rate_limited(
    standin: StoreStandIn, store: PlatformStore
) -> None:
    standin.throttled_call_interval = 1
    await store.watch("k", Revision(0, 1), 1.0)


async def _leave_write_unanswered(standin: StoreStandIn, store: PlatformStore) -> None:
    standin.unanswered_writes = 1
    await store.create("k", "a", {})


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario against a new store and raise what the scenario raises."""

    async def run() -> Exception | None:
        standin = StoreStandIn()
        async with listen_on_loopback(standin.serve) as port:
            try:
                await scenario(
                    standin, PlatformStore(Address(HOST, port), SystemClock())
                )
            except Exception as error:
                # Raised outside of the task group, which would wrap it.
                return error
        return None

    error = anyio.run(run)
    if error is not None:
        raise error


class StoreTests(unittest.TestCase):
    @parameterized.expand(
        [
            (_create_twice, ConflictError),
            (_replace_outdated, ConflictError),
            (_watch_dropped_history, HistoryLostError),
            (_get_missing, ObjectNotFoundError),
            (_list_while_down, PlatformUnavailableError),
            (_watch_while_rate_limited, RateLimitedError),
            (_leave_write_unanswered, PlatformUnavailableError),
        ]
    )
    def test_failed_call_raises_the_error_of_its_cause(
        self, scenario: Scenario, error: type[Exception]
    ) -> None:
        with self.assertRaises(error):
            run_scenario(scenario)

    def test_failures_with_a_success_between_are_not_relayed(self) -> None:
        async def scenario(standin: StoreStandIn, store: PlatformStore) -> None:
            other = StoreStandIn()
            async with listen_on_loopback(other.serve) as port:
                store.relays = lambda: [Address(HOST, port)]
                for down in (True, False, True):
                    standin.down = down
                    try:
                        await store.list("k")
                    except PlatformUnavailableError:
                        self.assertTrue(down)
            self.assertEqual(other.calls, [])

        run_scenario(scenario)

    def test_a_failed_read_is_relayed(self) -> None:
        # A relayed read is made by a peer for this process.
        async def scenario(standin: StoreStandIn, store: PlatformStore) -> None:
            standin.put("k", "a", {"x": 1})
            standin.down = True
            other = StoreStandIn()
            other.put("k", "b", {"x": 2})
            async with listen_on_loopback(other.serve) as port:
                store.relays = lambda: [Address(HOST, port)]
                with self.assertRaises(PlatformUnavailableError):
                    await store.list("k")
                await anyio.sleep(RELAY_AFTER_S)
                listing = await store.list("k")
                self.assertEqual([each.name for each in listing.values], ["b"])
                with self.assertRaises(PlatformUnavailableError):
                    await store.create("k", "c", {})
                self.assertNotIn("POST k", other.calls)

        run_scenario(scenario)

    def test_pages_are_retried_while_the_store_limits_the_rate(self) -> None:
        async def scenario(standin: StoreStandIn, store: PlatformStore) -> None:
            for number in range(3 * PAGE_OBJECTS):
                standin.put("k", f"{number:05}", {})
            standin.throttled_call_interval = 2
            listing = await store.list("k")
            self.assertEqual(len(listing.values), 3 * PAGE_OBJECTS)
            # Three pages and two rate-limited calls.
            self.assertEqual(len(standin.calls), 5)

        run_scenario(scenario)

    def test_a_change_between_pages_is_not_missed(self) -> None:
        async def scenario(standin: StoreStandIn, store: PlatformStore) -> None:
            for number in range(2 * PAGE_OBJECTS):
                standin.put("k", f"{number:05}", {"x": 1})
            # The call for the second page is rate-limited once, which leaves time for
            # the change.
            standin.throttled_call_interval = 2

            async def change() -> None:
                # Polls, as the stand-in has no event for a new call.
                while len(standin.calls) < 2:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                standin.put("k", "00000", {"x": 2})

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(change)
                listing = await store.list("k")
            standin.throttled_call_interval = 0
            watched = await store.watch("k", listing.revision, 0.1)
            self.assertEqual([each.value.spec for each in watched.changes], [{"x": 2}])

        run_scenario(scenario)

    def test_rate_limited_reads_are_not_relayed_before_the_delay(self) -> None:
        async def scenario(standin: StoreStandIn, store: PlatformStore) -> None:
            standin.throttled_call_interval = 1
            other = StoreStandIn()
            async with listen_on_loopback(other.serve) as port:
                store.relays = lambda: [Address(HOST, port)]
                for _ in range(3):
                    with self.assertRaises(RateLimitedError):
                        await store.watch("k", Revision(0, 1), 1.0)
                    await anyio.sleep(RELAY_AFTER_S)
            self.assertEqual(other.calls, [])

        run_scenario(scenario)

    @parameterized.expand(["a b", "\xe9", "a/b", "a?b=1", "a#b", "a%20b", "llama:7b"])
    def test_any_name_that_can_be_listed_can_be_read_and_written(
        self, name: str
    ) -> None:
        async def scenario(_standin: StoreStandIn, store: PlatformStore) -> None:
            created = await store.create("k", name, {"x": 1})
            replaced = await store.replace("k", name, {"x": 2}, created.revision)
            self.assertEqual(await store.get("k", name), replaced)
            self.assertEqual(replaced.spec, {"x": 2})

        run_scenario(scenario)

    def test_a_watch_returns_changes_in_order(self) -> None:
        async def scenario(standin: StoreStandIn, store: PlatformStore) -> None:
            listing = await store.list("k")
            standin.put("k", "a", {"x": 1})
            standin.put("other", "a", {})
            standin.remove("k", "a")
            watched = await store.watch("k", listing.revision, 1.0)
            found = [(each.value.name, each.removed) for each in watched.changes]
            self.assertEqual(found, [("a", False), ("a", True)])
            nothing = await store.watch("k", watched.revision, 0.05)
            self.assertEqual(nothing.changes, ())

        run_scenario(scenario)


class FaultyReplyTests(unittest.TestCase):
    # A read, and one that is made for a peer. All bodies are sound.
    @parameterized.expand(
        [
            (f"{call}_{name}", call, status, ending)
            for call in ("list", "relayed")
            for name, status, ending in (
                ("status_000", b"000", "close"),
                ("status_600", b"600", "close"),
                ("reset", b"200", "reset"),
            )
        ]
        + [("list_status_302", "list", b"302", "close")]
    )
    def test_faulty_reply_of_the_store_is_not_read(
        self, _name: str, call: str, status: bytes, ending: str
    ) -> None:
        head = b"HTTP/1.1 " + status + b" Odd\r\n\r\n"
        reply = RawReply(head + b'{"items": [], "CurrentRev": 1}', ending)

        async def run() -> None:
            async with serve_raw(reply) as url:
                address = Address(HOST, int(url.rpartition(":")[2]))
                store = PlatformStore(address, SystemClock())
                try:
                    if call == "list":
                        await store.list("config")
                    else:
                        await store.forward_read(OBJECTS_PATH.encode() + b"/config")
                except PlatformUnavailableError:
                    return
            self.fail("no error")

        anyio.run(run)
