"""Tests of journals of origins: their form, and when a batch is due."""

from __future__ import annotations

import math
import unittest
from typing import Any

from parameterized import parameterized

from agatehoist.software.journal import (
    MAX_ENTRIES,
    InvalidJournalError,
    JournalEntry,
    OwnJournal,
    id_digest,
    merge_journals,
    read_journal,
    write_journal,
)
from agatehoist.software.origins import JournalNeed
from tests.test_software.support import NEW, NOW, OLD

ENTRIES = {id_digest("r1"): JournalEntry(OLD, NOW + 10)}


class StoredFormTests(unittest.TestCase):
    def test_stored_form_is_read_back(self) -> None:
        self.assertEqual(read_journal(write_journal(ENTRIES)), ENTRIES)

    @parameterized.expand(
        [
            (None,),
            ({},),
            ({"entries": {}},),
            ({"entries": ["r1"]},),
            ({"entries": [[id_digest("r1"), 1, 5]]},),
            ({"entries": [[id_digest("r1"), OLD, -1]]},),
            ({"entries": [["r1", OLD, 5]]},),
            ({"entries": [[id_digest("r1"), OLD, 5]] * (MAX_ENTRIES + 1)},),
        ]
    )
    def test_odd_object_is_refused(self, spec: Any) -> None:
        with self.assertRaises(InvalidJournalError):
            read_journal(spec)

    def test_versions_of_all_journals_that_have_not_expired_are_merged(self) -> None:
        others = [{id_digest("r1"): JournalEntry(NEW, NOW + s)} for s in (0, 1)]
        found = [merge_journals([ENTRIES, each], NOW).of("r1") for each in others]
        self.assertEqual(found, [{OLD}, {OLD, NEW}])


class BatchTests(unittest.TestCase):
    # Needs of the entries, number of nodes, whether the process stops, and the time
    # from one write to the next.
    @parameterized.expand(
        [
            ("nothing", (), 4, False, math.inf),
            ("few_nodes", (JournalNeed.SOON,), 4, False, 0.2),
            ("many_nodes", (JournalNeed.SOON,), 390, False, 6.5),
            ("stop", (JournalNeed.SOON,), 390, True, 0.2),
            ("not_waiting", (JournalNeed.AT_ONCE, JournalNeed.SOON), 390, False, 0.2),
        ]
    )
    def test_time_between_writes(
        self,
        _name: str,
        needs: tuple[JournalNeed, ...],
        nodes: int,
        is_stopping: bool,
        interval_s: float,
    ) -> None:
        journal = OwnJournal()
        journal.is_stopping = is_stopping
        journal.begin_write(NOW)
        for number, need in enumerate(needs):
            journal.add(f"r{number}", OLD, NOW + 10, need)
        self.assertAlmostEqual(journal.due_at(nodes), NOW + interval_s)
        journal.begin_write(NOW + 20)
        self.assertEqual(journal.due_at(nodes), math.inf)

    def test_failed_write_is_due_again_later(self) -> None:
        journal = OwnJournal()
        journal.add("r1", OLD, NOW + 10, JournalNeed.AT_ONCE)
        journal.note_failed(journal.begin_write(NOW), NOW)
        self.assertEqual(journal.due_at(1), NOW + 0.5)
