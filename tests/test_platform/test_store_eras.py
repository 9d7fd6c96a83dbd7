"""Tests of the client of a store that comes back from an older copy."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.platform.store import PlatformStore
from agatehoist.storage.errors import (
    ConflictError,
    HistoryLostError,
    PlatformUnavailableError,
)
from agatehoist.storage.revisions import Revision
from standins.users_platform.loopback import HOST, listen_on_loopback
from standins.users_platform.store import PAGE_OBJECTS, StoreCopy, StoreStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OBJECTS = PAGE_OBJECTS + 100


class RestoredBetweenPages(StoreStandIn):
    """Come back from a copy when the second page of a list is asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.copied: StoreCopy | None = None

    def _page(self, objects: dict[str, dict[str, Any]], after: str) -> dict[str, Any]:
        if after and self.copied is not None:
            copied, self.copied = self.copied, None
            self.restore(copied)
            objects = self.objects_by_kind["k"]
        return super()._page(objects, after)


@asynccontextmanager
async def client_of(standin: StoreStandIn) -> AsyncIterator[PlatformStore]:
    """Yield a client of a store in its first era."""
    standin.era = 1
    async with listen_on_loopback(standin.serve) as port:
        yield PlatformStore(Address(HOST, port), SystemClock())


class EraTests(unittest.TestCase):
    # Whether the client has read anything of the new era before.
    @parameterized.expand([("known", True), ("unknown", False)])
    def test_watch_from_a_number_given_out_again_lists_again(
        self, _name: str, era_is_known: bool
    ) -> None:
        async def run() -> None:
            standin = StoreStandIn()
            copied = standin.copy()
            async with client_of(standin) as store:
                standin.put("k", "lost", {})
                known = (await store.list("k")).revision
                standin.restore(copied)
                for name in ("a", "b", "c"):
                    standin.put("k", name, {})
                if era_is_known:
                    await store.list("other")
                with self.assertRaises(HistoryLostError):
                    await store.watch("k", known, 0.2)
                listing = await store.list("k")
                self.assertEqual([v.name for v in listing.values], ["a", "b", "c"])
                self.assertGreater(listing.revision, known)

        anyio.run(run)

    @parameterized.expand([("known", True), ("unknown", False)])
    def test_write_at_a_number_given_out_again_is_a_conflict(
        self, _name: str, era_is_known: bool
    ) -> None:
        async def run() -> Any:
            standin = StoreStandIn()
            copied = standin.copy()
            async with client_of(standin) as store:
                mine = await store.create("k", "plan", {"holder": "me"})
                standin.restore(copied)
                standin.put("k", "plan", {"holder": "another"})
                self.assertEqual(mine.revision.number, standin.revision)
                if era_is_known:
                    await store.list("other")
                with self.assertRaises(ConflictError):
                    await store.replace("k", "plan", {"holder": "me"}, mine.revision)
                return standin.spec("k", "plan")

        spec = anyio.run(run)
        if era_is_known:
            self.assertEqual(spec, {"holder": "another"})

    def test_list_has_no_pages_of_two_eras(self) -> None:
        async def run() -> None:
            standin = RestoredBetweenPages()
            for number in range(OBJECTS):
                standin.put("k", f"{number:04}", "copied")
            copied = standin.copy()
            for number in range(OBJECTS):
                standin.put("k", f"{number:04}", "lost")
            standin.copied = copied
            async with client_of(standin) as store:
                listing = await store.list("k")
            self.assertEqual({each.spec for each in listing.values}, {"copied"})
            self.assertEqual(len(listing.values), OBJECTS)
            self.assertEqual(listing.revision, Revision(2, copied.revision))

        anyio.run(run)

    def test_two_restores_in_a_row_are_two_eras(self) -> None:
        async def run() -> None:
            standin = StoreStandIn()
            copied = standin.copy()
            async with client_of(standin) as store:
                standin.put("k", "a", {})
                revisions = [(await store.list("k")).revision]
                for _ in range(2):
                    standin.restore(copied)
                    standin.put("k", "a", {})
                    revisions.append((await store.list("k")).revision)
            self.assertEqual(revisions, sorted(set(revisions)))
            self.assertEqual(len({each.number for each in revisions}), 1)

        anyio.run(run)

    def test_answer_of_an_earlier_era_is_no_answer(self) -> None:
        async def run() -> None:
            standin = StoreStandIn()
            async with client_of(standin) as store:
                standin.era = 2
                await store.list("k")
                standin.era = 1
                with self.assertRaises(PlatformUnavailableError):
                    await store.list("k")

        anyio.run(run)

    def test_read_through_a_peer_tells_its_era(self) -> None:
        async def run() -> None:
            standin = StoreStandIn()
            async with client_of(standin) as store:
                reply = await store.forward_read(b"/agatehoist/objects/k")
            self.assertEqual(reply.head.value(b"store-era"), b"1")

        anyio.run(run)
