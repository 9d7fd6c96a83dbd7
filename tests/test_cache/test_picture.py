"""Tests of the picture of an engine's cache."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.cache.picture import CachePicture
from agatehoist.cache.types import BlockListing, CacheEpoch, CacheEvent, PromptReport
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel
from agatehoist.placement.levels import find_levels, salt_for

EPOCH = CacheEpoch("run-1", "1")
OTHER_RUN = CacheEpoch("run-2", "1")
OTHER_WEIGHTS = CacheEpoch("run-1", "2")
BLOCKS = tuple(f"b{index}" for index in range(8))
BOOK = PrefixLevel(b"book", 64)
SECTION = PrefixLevel(b"section", 96)
QUESTION = PrefixLevel(b"question", 128)
LEVELS = (BOOK, SECTION, QUESTION)

EVENTS = [
    ("all_held", [], 128),
    ("question_evicted", [(2, (), BLOCKS[7:])], 96),
    ("section_evicted", [(2, (), BLOCKS[5:])], 64),
    ("everything_evicted", [(2, (), BLOCKS)], 0),
    ("stored_again", [(2, (), BLOCKS), (3, BLOCKS[:4], ())], 64),
    ("late_event_of_the_past", [(2, (), BLOCKS[4:]), (1, BLOCKS, ())], 64),
    ("gap_and_a_removal", [(5, (), BLOCKS[7:])], 96),
]

FOREIGN = [
    ("dead_engine", OTHER_RUN),
    ("older_weights", OTHER_WEIGHTS),
]


def attempt(number: int) -> AttemptId:
    return AttemptId("router", number)


def learn(picture: CachePicture, cached_tokens: int = 0, number: int = 1) -> None:
    """Let an answer tell which blocks the prompt has."""
    picture.expect(attempt(number), LEVELS)
    picture.record(attempt(number), PromptReport(128, cached_tokens, BLOCKS))


def followed() -> CachePicture:
    """Return a picture whose engine holds all blocks of the prompt."""
    picture = CachePicture()
    picture.reset(EPOCH)
    learn(picture)
    picture.resync(BlockListing(EPOCH, 0, ()))
    picture.apply(CacheEvent(EPOCH, 1, BLOCKS))
    return picture


class FollowedTests(unittest.TestCase):
    @parameterized.expand(EVENTS)
    def test_events(
        self,
        _name: str,
        events: list[tuple[int, tuple[str, ...], tuple[str, ...]]],
        matched_tokens: int,
    ) -> None:
        picture = followed()
        for sequence, stored, removed in events:
            picture.apply(CacheEvent(EPOCH, sequence, stored, removed))
        self.assertEqual(picture.matched_tokens(LEVELS), matched_tokens)

    def test_gap_asks_for_a_listing_that_mends_it(self) -> None:
        picture = followed()
        self.assertFalse(picture.resync_needed)
        picture.apply(CacheEvent(EPOCH, 3, ("x",)))
        self.assertTrue(picture.resync_needed)
        picture.resync(BlockListing(EPOCH, 1, BLOCKS))
        self.assertTrue(picture.resync_needed, "the listing is older than the event")
        picture.resync(BlockListing(EPOCH, 3, BLOCKS[:4]))
        self.assertFalse(picture.resync_needed)
        self.assertEqual(picture.matched_tokens(LEVELS), 64)

    @parameterized.expand(FOREIGN)
    def test_foreign_reports_are_dropped(self, _name: str, epoch: CacheEpoch) -> None:
        picture = followed()
        picture.apply(CacheEvent(EPOCH, 2, (), BLOCKS))
        picture.apply(CacheEvent(epoch, 3, BLOCKS))
        picture.resync(BlockListing(epoch, 9, BLOCKS))
        self.assertEqual(picture.matched_tokens(LEVELS), 0)

    @parameterized.expand(FOREIGN)
    def test_change_empties_the_picture(self, _name: str, epoch: CacheEpoch) -> None:
        picture = followed()
        picture.reset(epoch)
        # An engine that keeps its blocks lists them under the new weights too.
        picture.resync(BlockListing(epoch, 0, BLOCKS))
        self.assertEqual(picture.matched_tokens(LEVELS), 0)

    def test_late_answer_of_a_dead_engine_is_dropped(self) -> None:
        picture = followed()
        picture.expect(attempt(2), LEVELS)
        picture.reset(OTHER_RUN)
        picture.record(attempt(2), PromptReport(128, 128, BLOCKS))
        self.assertEqual(picture.matched_tokens(LEVELS), 0)

    def test_answer_without_the_expected_hit_asks_for_a_listing(self) -> None:
        picture = followed()
        learn(picture, cached_tokens=128, number=2)
        self.assertFalse(picture.resync_needed)
        learn(picture, cached_tokens=16, number=3)
        self.assertTrue(picture.resync_needed)

    def test_levels_and_blocks_are_bounded(self) -> None:
        picture = CachePicture(max_levels=10)
        picture.reset(EPOCH)
        for number in range(50):
            levels = (PrefixLevel(f"{number}".encode(), 16),)
            picture.expect(attempt(number), levels)
            picture.record(attempt(number), PromptReport(16, 0, ("b",)))
        self.assertEqual(picture.known_levels, 10)


class UnfollowedTests(unittest.TestCase):
    """Cover engines that tell nothing of their blocks."""

    def setUp(self) -> None:
        self.picture = CachePicture()
        self.picture.reset(EPOCH)

    def answer(self, number: int, level: PrefixLevel, cached_tokens: int) -> None:
        self.picture.expect(attempt(number), (level,))
        self.picture.record(attempt(number), PromptReport(64, cached_tokens))

    def test_miss_forgets_all_that_was_used_earlier(self) -> None:
        first, second, third = (PrefixLevel(name, 64) for name in (b"1", b"2", b"3"))
        for number, level in enumerate((first, second, third)):
            self.answer(number, level, 0)
        self.answer(3, second, 0)
        self.assertEqual(self.picture.matched_tokens((first,)), 0)
        self.assertEqual(self.picture.matched_tokens((second,)), 64)
        self.assertEqual(self.picture.matched_tokens((third,)), 64)

    def test_admitted_prompt_is_expected_until_it_ends(self) -> None:
        self.picture.expect(attempt(1), LEVELS)
        self.picture.expect(attempt(2), LEVELS)
        self.picture.settle(attempt(1))
        self.assertEqual(self.picture.matched_tokens(LEVELS), 128)
        self.picture.settle(attempt(2))
        self.assertEqual(self.picture.matched_tokens(LEVELS), 0)

    @parameterized.expand(
        [
            ("organisation", salt_for("cooperative", "songs-8b", "1")),
            ("weights_version", salt_for("archive", "songs-8b", "2")),
        ]
    )
    def test_salt_keeps_levels_apart(self, _name: str, salt: bytes) -> None:
        ours = find_levels(("A hymn. " * 200,), salt_for("archive", "songs-8b", "1"))
        self.picture.expect(attempt(1), ours)
        self.picture.record(attempt(1), PromptReport(400, 0))
        self.assertGreater(self.picture.matched_tokens(ours), 0)
        theirs = find_levels(("A hymn. " * 200,), salt)
        self.assertEqual(self.picture.matched_tokens(theirs), 0)
