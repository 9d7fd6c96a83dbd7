"""Tests of accepting changes under races and platform faults."""

from __future__ import annotations

import dataclasses
import random
import unittest
from datetime import UTC, datetime
from typing import Any, cast
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.configuration import acceptance, store
from agatehoist.configuration.acceptance import apply_document
from agatehoist.configuration.document import Change, Document, FleetDefaults, Record
from agatehoist.configuration.encoding import record_value
from agatehoist.configuration.errors import ChangeConflictError, OutcomeUnknownError
from agatehoist.configuration.store import ConfigurationStore
from agatehoist.configuration.types import Model
from agatehoist.storage.errors import PlatformUnavailableError
from tests.test_configuration.fakes import FakePlatform

NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)

WRITE_FAULTS: list[tuple[str, list[str]]] = [
    ("no_fault", []),
    ("lost", ["get:", "put:lost"]),
    ("lost_then_down", ["get:", "put:lost", "get:down", "get:down"]),
    ("lost_then_old_read", ["get:", "put:lost", "get:old", "put:", "get:old", "put:"]),
    ("down_before_the_write", ["get:", "put:down"]),
    # The first write is not stored; the second is stored, but its reply is lost.
    ("lost_twice", ["get:", "put:down", "get:", "put:lost", "get:down"]),
]


def change(change_id: str) -> Change:
    """Return a change with an id."""
    return Change(change_id, f"author of {change_id}", f"reason of {change_id}", NOON)


def document(based_on: int, tokens: int) -> Document:
    """Return a document with one model."""
    defaults = FleetDefaults(models_by_name={"songs": Model(tokens)})
    return Document(defaults, based_on=based_on)


def store_on(platform: FakePlatform) -> ConfigurationStore:
    """Return a store on a fake platform."""
    return ConfigurationStore(cast("Any", platform))


def apply_change(platform: FakePlatform, proposed: Document, change_id: str) -> Record:
    """Apply a document as a change."""
    run = lambda: apply_document(  # noqa: E731
        store_on(platform), proposed, change(change_id), 2.0
    )
    return anyio.run(run)


class ApplyTests(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(acceptance, "Backoff", _ShortBackoff)
        patch.start()
        self.addCleanup(patch.stop)
        self.platform = FakePlatform()
        apply_change(self.platform, document(0, 1), "first")

    def in_force(self) -> Record:
        """Return the record in force."""
        self.platform.faults = []
        found = anyio.run(store_on(self.platform).read_in_force)
        assert found is not None
        return found

    @parameterized.expand(WRITE_FAULTS)
    def test_accepted_once(self, _name: str, faults: list[str]) -> None:
        self.platform.faults = list(faults)
        record = apply_change(self.platform, document(1, 2), "second")
        self.assertEqual((record.revision, record.change.id), (2, "second"))
        self.assertEqual(self.in_force(), record)

    def test_conflict_reports_the_competing_change(self) -> None:
        winner = Record(2, change("winner"), document(1, 5))
        self.platform.before_put = lambda: self.platform.store(
            "configuration", "fleet", record_value(winner), 1
        )
        with self.assertRaises(ChangeConflictError) as caught:
            apply_change(self.platform, document(1, 2), "loser")
        self.assertEqual(caught.exception.winner, winner)
        self.assertEqual(caught.exception.changes, (winner,))
        assert caught.exception.base is not None
        self.assertEqual(caught.exception.base.revision, 1)
        self.assertEqual(self.in_force(), winner)

    def test_document_with_an_outdated_base_is_rejected(self) -> None:
        apply_change(self.platform, document(1, 2), "second")
        with self.assertRaises(ChangeConflictError):
            apply_change(self.platform, document(1, 3), "late")
        self.assertEqual(self.in_force().change.id, "second")

    def test_repeated_change_returns_its_record_after_a_later_change(self) -> None:
        accepted = apply_change(self.platform, document(1, 2), "second")
        apply_change(self.platform, document(2, 3), "third")
        again = apply_change(self.platform, document(1, 2), "second")
        self.assertEqual(again, accepted)
        self.assertEqual(self.in_force().change.id, "third")

    def test_unknown_outcome_is_reported_and_a_repeat_resolves_it(self) -> None:
        self.platform.faults = ["get:", "put:lost", *["get:down"] * 1000]
        with self.assertRaises(OutcomeUnknownError):
            apply_change(self.platform, document(1, 2), "second")
        self.platform.faults = []
        self.assertEqual(
            apply_change(self.platform, document(1, 2), "second").revision, 2
        )

    def test_history_is_complete_up_to_its_limit(self) -> None:
        with mock.patch.object(store, "MAX_HISTORY_RECORDS", 5):
            for base in range(1, 12):
                apply_change(self.platform, document(base, base), f"change-{base}")
        self.assertEqual(self.platform.count("configuration_history"), 5)
        read = store_on(self.platform).read_history
        found = anyio.run(read, range(1, 13))
        self.assertEqual([each.revision for each in found], [8, 9, 10, 11, 12])

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_concurrent_changes_are_each_accepted_at_most_once(self, seed: int) -> None:
        rng = random.Random(seed)
        accepted: dict[int, str] = {}

        async def operate(name: str) -> None:
            configuration_store = store_on(self.platform)
            for step in range(5):
                base = await configuration_store.read_in_force()
                assert base is not None
                await anyio.sleep(rng.uniform(0, 0.002))
                proposed = dataclasses.replace(base.document, based_on=base.revision)
                try:
                    change_id = f"{name}-{step}"
                    record = await apply_document(
                        configuration_store, proposed, change(change_id), 1
                    )
                except (ChangeConflictError, PlatformUnavailableError):
                    continue
                self.assertNotIn(record.revision, accepted)
                accepted[record.revision] = change_id

        async def race() -> None:
            async with anyio.create_task_group() as task_group:
                for name in ("out", "in"):
                    task_group.start_soon(operate, name)

        self.platform.faults = [
            rng.choice(["put:lost", "put:down", "put:"]) for _ in range(6)
        ]
        anyio.run(race)
        last = self.in_force()
        self.assertEqual(sorted(accepted), list(range(2, last.revision + 1)))
        self.assertEqual(accepted[last.revision], last.change.id)


class _ShortBackoff:
    def __init__(self, _rng: random.Random) -> None:
        pass

    def retry_at(self, now: float) -> float:
        return now + 0.005
