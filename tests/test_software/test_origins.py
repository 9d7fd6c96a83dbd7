"""Tests of the origins that a gateway keeps, and of when the journal needs them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.software.origins import JournalNeed, Origin, OriginTable, journal_need
from tests.test_software.support import (
    HALVES,
    NEW,
    NOW,
    OLD,
    ONLY_OLD,
    SERVICE,
    record_of,
    request_id_of,
)

if TYPE_CHECKING:
    from agatehoist.software.types import ShareRecord

# A stream that equal shares move to the new version.
MOVED = request_id_of(NEW)


class JournalNeedTests(unittest.TestCase):
    @parameterized.expand(
        [
            # Other gateways may have read a record.
            ("no_record", None, OLD, JournalNeed.AT_ONCE),
            ("follows", record_of((50, ONLY_OLD)), OLD, JournalNeed.NONE),
            ("exception", record_of((50, ONLY_OLD)), NEW, JournalNeed.AT_ONCE),
            (
                "moved_before",
                record_of((50, ONLY_OLD), (9, HALVES)),
                OLD,
                JournalNeed.SOON,
            ),
            (
                "moved_for_long",
                record_of((90, ONLY_OLD), (36, HALVES)),
                NEW,
                JournalNeed.NONE,
            ),
            # Gateways that lack the last period would go on at the old version.
            (
                "moved_just_now",
                record_of((50, ONLY_OLD), (1, HALVES)),
                NEW,
                JournalNeed.AT_ONCE,
            ),
        ]
    )
    def test_need(
        self, _name: str, record: ShareRecord | None, software: str, need: JournalNeed
    ) -> None:
        self.assertIs(journal_need(record, MOVED, software, NOW), need)


class OriginTableTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("known", SERVICE, NOW, OLD),
            ("expired", SERVICE, NOW + 10, None),
            ("other_service", "others", NOW, None),
        ]
    )
    def test_find(
        self, _name: str, service: str, at: float, software: str | None
    ) -> None:
        table = OriginTable()
        table.note(MOVED, Origin(SERVICE, OLD, NOW + 10), NOW)
        self.assertEqual(table.find(MOVED, service, at), software)

    def test_earliest_deadlines_are_dropped_first(self) -> None:
        table = OriginTable(max_origins=2)
        for request_id, expires_s in (("a", 9), ("b", 3), ("a", 8), ("c", 5)):
            table.note(request_id, Origin(SERVICE, OLD, NOW + expires_s), NOW)
        self.assertEqual(set(table.by_request_id), {"a", "c"})

    def test_new_period_makes_only_moved_streams_ambiguous(self) -> None:
        before = record_of((50, ONLY_OLD))
        after = record_of((50, ONLY_OLD), (0, HALVES), number=2)
        table = OriginTable()
        for request_id in (MOVED, request_id_of(OLD)):
            table.note(request_id, Origin(SERVICE, OLD, NOW + 10), NOW)
        found = table.needing_journal(after, before, NOW)
        self.assertEqual([each[0] for each in found], [MOVED])
