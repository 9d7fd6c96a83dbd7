"""Tests of the copy of stored objects that a watcher passes on."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.storage.objects import Changes, Listing, ObjectChange, StoredValue
from agatehoist.storage.replica import MAX_RECENT_CHANGES, Replica
from agatehoist.storage.revisions import Revision


def at(number: int, era: int = 1) -> Revision:
    """Return a revision."""
    return Revision(era, number)


def value(name: str, number: int) -> StoredValue:
    """Return an object whose content is the number of its revision."""
    return StoredValue(name, at(number), number)


def written(name: str, revision: int) -> ObjectChange:
    """Return the write of an object."""
    return ObjectChange(value(name, revision), False)


REMOVED_A = ObjectChange(value("a", 3), True)
LATER = (written("c", 7), REMOVED_A, written("b", 9))
UPDATES = (
    Listing((value("a", 3), value("b", 5)), at(5)),
    Changes((written("c", 7),), at(7)),
    Changes((REMOVED_A, written("b", 9)), at(9)),
)


class ReplicaTests(unittest.TestCase):
    # Case, the revision that the reader knows, and what it gets.
    @parameterized.expand(
        [
            ("nothing", 0, Listing((value("b", 9), value("c", 7)), at(9))),
            ("from_the_list", 5, Changes(LATER, at(9))),
            ("some", 7, Changes((REMOVED_A, written("b", 9)), at(9))),
            ("between_updates", 8, Changes((REMOVED_A, written("b", 9)), at(9))),
            ("all", 9, None),
            ("more_than_the_watcher", 12, None),
        ]
    )
    def test_reader_gets_what_it_lacks(
        self, _name: str, revision: int, expected: Listing | Changes | None
    ) -> None:
        replica = Replica()
        for each in UPDATES:
            replica.apply(each)
        self.assertEqual(replica.since(at(revision)), expected)

    def test_reader_that_is_far_behind_gets_a_list(self) -> None:
        replica = Replica()
        replica.apply(Listing((), at(1)))
        for revision in range(2, MAX_RECENT_CHANGES + 10):
            replica.apply(Changes((written("a", revision),), at(revision)))
        self.assertIsInstance(replica.since(at(1)), Listing)
        self.assertIsInstance(replica.since(at(MAX_RECENT_CHANGES)), Changes)

    def test_empty_watch_is_no_news(self) -> None:
        replica = Replica()
        replica.apply(Listing((), at(1)))
        replica.apply(Changes((), at(8)))
        self.assertIsNone(replica.since(at(1)))

    # Case, the era and number that the reader knows, and what it gets from a watcher
    # whose store came back from a copy at 5 and is at 6 in its second era.
    @parameterized.expand(
        [
            ("of_the_lost_era", 1, 9, True),
            ("of_the_lost_era_with_the_same_number", 1, 6, True),
            ("up_to_date", 2, 6, False),
            ("of_a_later_era", 3, 2, False),
        ]
    )
    def test_reader_of_an_earlier_era_gets_a_list(
        self, _name: str, era: int, number: int, gets_list: bool
    ) -> None:
        replica = Replica()
        for each in UPDATES:
            replica.apply(each)
        listing = Listing((StoredValue("a", at(3, 2), 3),), at(6, 2))
        replica.apply(listing)
        expected = listing if gets_list else None
        self.assertEqual(replica.since(at(number, era)), expected)
