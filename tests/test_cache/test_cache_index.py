"""Tests of the index of an engine's cache."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.cache.cache_index import CacheIndex
from agatehoist.cache.types import BlockListing, CacheEpoch, CacheEvent, PromptReport
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel
from agatehoist.placement.levels import find_levels, salt_for

EPOCH = CacheEpoch("run-1", "1")
OTHER_PROCESS = CacheEpoch("run-2", "1")
OTHER_WEIGHTS = CacheEpoch("run-1", "2")
BLOCKS = tuple(f"b{index}" for index in range(8))
BOOK = PrefixLevel(b"book", 64)
SECTION = PrefixLevel(b"section", 96)
QUESTION = PrefixLevel(b"question", 128)
LEVELS = (BOOK, SECTION, QUESTION)

# Case, events (sequence number, stored and removed blocks) and matched tokens after
# them. Event 1 has stored all blocks; the last two cases have an event that arrives
# after a later one and an event after a sequence gap.
EVENT_CASES = [
    ("all_held", [], 128),
    ("question_evicted", [(2, (), BLOCKS[7:])], 96),
    ("section_evicted", [(2, (), BLOCKS[5:])], 64),
    ("everything_evicted", [(2, (), BLOCKS)], 0),
    ("stored_again", [(2, (), BLOCKS), (3, BLOCKS[:4], ())], 64),
    ("late_event_of_the_past", [(2, (), BLOCKS[4:]), (1, BLOCKS, ())], 64),
    ("gap_and_a_removal", [(5, (), BLOCKS[7:])], 96),
]

# Epochs of another engine process and of other weights.
OTHER_EPOCHS = [
    ("dead_engine", OTHER_PROCESS),
    ("older_weights", OTHER_WEIGHTS),
]


def attempt(number: int) -> AttemptId:
    return AttemptId("router", number)


def record_answer(
    cache_index: CacheIndex, cached_tokens: int = 0, number: int = 1
) -> None:
    """Record an answer that reports the blocks of the prompt."""
    cache_index.expect(attempt(number), LEVELS)
    cache_index.record(attempt(number), PromptReport(128, cached_tokens, BLOCKS))


def index_with_all_blocks() -> CacheIndex:
    """Return an index for an engine that reports all blocks of the prompt."""
    cache_index = CacheIndex()
    cache_index.reset(EPOCH)
    record_answer(cache_index)
    cache_index.resync(BlockListing(EPOCH, 0, ()))
    cache_index.apply(CacheEvent(EPOCH, 1, BLOCKS))
    return cache_index


class ReportedBlocksTests(unittest.TestCase):
    @parameterized.expand(EVENT_CASES)
    def test_matched_tokens_follow_the_events(
        self,
        _name: str,
        events: list[tuple[int, tuple[str, ...], tuple[str, ...]]],
        matched_tokens: int,
    ) -> None:
        cache_index = index_with_all_blocks()
        for sequence, stored, removed in events:
            cache_index.apply(CacheEvent(EPOCH, sequence, stored, removed))
        self.assertEqual(cache_index.matched_tokens(LEVELS), matched_tokens)

    def test_sequence_gap_requests_a_listing(self) -> None:
        cache_index = index_with_all_blocks()
        self.assertFalse(cache_index.resync_needed)
        cache_index.apply(CacheEvent(EPOCH, 3, ("x",)))
        self.assertTrue(cache_index.resync_needed)
        cache_index.resync(BlockListing(EPOCH, 1, BLOCKS))
        self.assertTrue(
            cache_index.resync_needed, "the listing is older than the event"
        )
        cache_index.resync(BlockListing(EPOCH, 3, BLOCKS[:4]))
        self.assertFalse(cache_index.resync_needed)
        self.assertEqual(cache_index.matched_tokens(LEVELS), 64)

    @parameterized.expand(OTHER_EPOCHS)
    def test_reports_of_other_epochs_are_dropped(
        self, _name: str, epoch: CacheEpoch
    ) -> None:
        cache_index = index_with_all_blocks()
        cache_index.apply(CacheEvent(EPOCH, 2, (), BLOCKS))
        cache_index.apply(CacheEvent(epoch, 3, BLOCKS))
        cache_index.resync(BlockListing(epoch, 9, BLOCKS))
        self.assertEqual(cache_index.matched_tokens(LEVELS), 0)

    @parameterized.expand(OTHER_EPOCHS)
    def test_epoch_change_clears_the_index(self, _name: str, epoch: CacheEpoch) -> None:
        cache_index = index_with_all_blocks()
        cache_index.reset(epoch)
        # An engine that keeps its old blocks lists them under the new epoch too, but no
        # level is known any more.
        cache_index.resync(BlockListing(epoch, 0, BLOCKS))
        self.assertEqual(cache_index.matched_tokens(LEVELS), 0)

    @parameterized.expand(OTHER_EPOCHS)
    def test_answer_to_a_prompt_of_an_older_epoch_is_dropped(
        self, _name: str, epoch: CacheEpoch
    ) -> None:
        cache_index = index_with_all_blocks()
        cache_index.expect(attempt(2), LEVELS)
        cache_index.reset(epoch)
        self.assertEqual(cache_index.matched_tokens(LEVELS), 0)
        cache_index.record(attempt(2), PromptReport(128, 128, BLOCKS))
        self.assertEqual(cache_index.matched_tokens(LEVELS), 0)

    def test_unexpected_cache_miss_requests_a_listing(self) -> None:
        cache_index = index_with_all_blocks()
        record_answer(cache_index, cached_tokens=128, number=2)
        self.assertFalse(cache_index.resync_needed)
        record_answer(cache_index, cached_tokens=16, number=3)
        self.assertTrue(cache_index.resync_needed)

    def test_number_of_levels_is_limited(self) -> None:
        cache_index = CacheIndex(max_levels=10)
        cache_index.reset(EPOCH)
        for number in range(50):
            levels = (PrefixLevel(f"{number}".encode(), 16),)
            cache_index.expect(attempt(number), levels)
            cache_index.record(attempt(number), PromptReport(16, 0, ("b",)))
        self.assertEqual(cache_index.known_levels, 10)


class UnreportedBlocksTests(unittest.TestCase):
    """Cover engines that don't report their blocks."""

    def setUp(self) -> None:
        self.cache_index = CacheIndex()
        self.cache_index.reset(EPOCH)

    def answer(self, number: int, level: PrefixLevel, cached_tokens: int) -> None:
        self.cache_index.expect(attempt(number), (level,))
        self.cache_index.record(attempt(number), PromptReport(64, cached_tokens))

    def test_cache_miss_removes_less_recently_used_levels(self) -> None:
        first, second, third = (PrefixLevel(name, 64) for name in (b"1", b"2", b"3"))
        for number, level in enumerate((first, second, third)):
            self.answer(number, level, 0)
        self.answer(3, second, 0)
        self.assertEqual(self.cache_index.matched_tokens((first,)), 0)
        self.assertEqual(self.cache_index.matched_tokens((second,)), 64)
        self.assertEqual(self.cache_index.matched_tokens((third,)), 64)

    def test_prompt_matches_while_an_attempt_expects_it(self) -> None:
        self.cache_index.expect(attempt(1), LEVELS)
        self.cache_index.expect(attempt(2), LEVELS)
        self.cache_index.stop_expecting(attempt(1))
        self.assertEqual(self.cache_index.matched_tokens(LEVELS), 128)
        self.cache_index.stop_expecting(attempt(2))
        self.assertEqual(self.cache_index.matched_tokens(LEVELS), 0)

    @parameterized.expand(
        [
            ("organisation", salt_for("cooperative", "songs-8b", "1")),
            ("weights_version", salt_for("archive", "songs-8b", "2")),
        ]
    )
    def test_salt_separates_levels(self, _name: str, salt: bytes) -> None:
        ours = find_levels(("A hymn. " * 200,), salt_for("archive", "songs-8b", "1"))
        self.cache_index.expect(attempt(1), ours)
        self.cache_index.record(attempt(1), PromptReport(400, 0))
        self.assertGreater(self.cache_index.matched_tokens(ours), 0)
        theirs = find_levels(("A hymn. " * 200,), salt)
        self.assertEqual(self.cache_index.matched_tokens(theirs), 0)
