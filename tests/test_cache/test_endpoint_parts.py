"""Tests of the prompt parts that endpoints and the KV store are believed to hold."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.cache.endpoint_parts import (
    PARTS_MEMORY_SHARE,
    REPORT_INTERVAL_S,
    EndpointParts,
)
from agatehoist.cache.saved_parts import (
    SAVE_TIMEOUT_S,
    SAVED_RETENTION_S,
    SavedParts,
)
from agatehoist.protocol.node_reports import endpoint_key, part_key
from agatehoist.routing.types import PromptPart

PREAMBLE, BOOK, OTHER = (
    PromptPart("preamble", 100),
    PromptPart("book", 6000),
    PromptPart("other", 6000),
)
ENDPOINT, SALT = "e@1", "m/1/"
KEY = part_key(SALT, "book")
NOW = 10.0


class EndpointPartsTests(unittest.TestCase):
    # Case, the parts that the endpoint read, those of the prompt, and the salt.
    @parameterized.expand(
        [
            ("nothing_known", [], [PREAMBLE, BOOK], SALT, 0),
            ("all", [PREAMBLE, BOOK], [PREAMBLE, BOOK], SALT, 6100),
            ("leading_parts", [PREAMBLE, BOOK], [PREAMBLE, OTHER], SALT, 100),
            ("first_part_missing", [BOOK], [PREAMBLE, BOOK], SALT, 0),
            ("other_weights", [PREAMBLE, BOOK], [PREAMBLE, BOOK], "m/2/", 0),
        ]
    )
    def test_matched_tokens(
        self,
        _name: str,
        read: list[PromptPart],
        asked: list[PromptPart],
        salt: str,
        tokens: int,
    ) -> None:
        parts = EndpointParts()
        parts.note_read(ENDPOINT, SALT, read)
        self.assertEqual(parts.matched_tokens(ENDPOINT, salt, asked), tokens)
        self.assertEqual(parts.matched_tokens("e@2", salt, asked), 0)

    def test_least_recently_used_parts_are_dropped_first(self) -> None:
        parts = EndpointParts()
        memory_tokens = round(12_000 / PARTS_MEMORY_SHARE) + 1
        for each in (BOOK, OTHER, BOOK, PromptPart("third", 6000)):
            parts.note_read(ENDPOINT, SALT, [each], memory_tokens)
        self.assertEqual(parts.matched_tokens(ENDPOINT, SALT, [BOOK]), 6000)
        self.assertEqual(parts.matched_tokens(ENDPOINT, SALT, [OTHER]), 0)

    def test_peers_learn_new_long_parts_once(self) -> None:
        own, peer = EndpointParts(), EndpointParts()
        for _ in range(2):
            own.note_read(ENDPOINT, SALT, [PREAMBLE, BOOK])
        (read,) = own.pop_unreported(9)
        self.assertEqual((read.endpoint, read.part), (endpoint_key(ENDPOINT), KEY))
        peer.note_peer_read(read)
        self.assertEqual(peer.matched_tokens(ENDPOINT, SALT, [BOOK]), 6000)
        self.assertEqual(peer.pop_unreported(9), ())

    # Case, tokens that runs hold in a memory of 15,000, and the parts that stay.
    @parameterized.expand([("few", 2_000, 2), ("many", 5_000, 1), ("all", 15_000, 0)])
    def test_parts_evicted_in_favour_of_runs_are_not_expected(
        self, _name: str, held_tokens: int, stay: int
    ) -> None:
        parts = EndpointParts()
        for each in (BOOK, OTHER):
            parts.note_read(ENDPOINT, SALT, [each], 18_000)
        parts.note_held(ENDPOINT, 15_000, held_tokens)
        # They don't come back when the runs end.
        parts.note_held(ENDPOINT, 15_000, 0)
        found = [parts.matched_tokens(ENDPOINT, SALT, [each]) for each in (OTHER, BOOK)]
        self.assertEqual(found, [6_000] * stay + [0] * (2 - stay))

    def test_peers_are_told_again_of_a_part_in_use(self) -> None:
        """A peer drops the least recently used parts first, as the endpoint does."""
        parts = EndpointParts()
        for at in (NOW, NOW + 0.1, NOW + REPORT_INTERVAL_S):
            parts.note_read(ENDPOINT, SALT, [BOOK], now=at)
        self.assertEqual(len(parts.pop_unreported(9)), 2)

    def test_ended_endpoint_is_forgotten(self) -> None:
        parts = EndpointParts()
        parts.note_read(ENDPOINT, SALT, [BOOK])
        parts.forget(ENDPOINT)
        self.assertEqual(parts.matched_tokens(ENDPOINT, SALT, [BOOK]), 0)


class SavedPartsTests(unittest.TestCase):
    # Case, whether the save is confirmed, seconds after the first request, and whether
    # the next request saves the part.
    @parameterized.expand(
        [
            ("under_way", False, SAVE_TIMEOUT_S / 2, False),
            ("not_confirmed", False, SAVE_TIMEOUT_S + 0.1, True),
            ("confirmed", True, SAVE_TIMEOUT_S + 0.1, False),
            ("not_used_for_long", True, SAVED_RETENTION_S + 0.1, True),
        ]
    )
    def test_a_part_is_saved_once(
        self, _name: str, confirmed: bool, after_s: float, saves: bool
    ) -> None:
        saved = SavedParts()
        self.assertTrue(saved.should_save(KEY, 6000, NOW))
        if confirmed:
            saved.note_saved(KEY, NOW)
        self.assertEqual(saved.should_save(KEY, 6000, NOW + after_s), saves)

    def test_short_parts_are_not_saved(self) -> None:
        self.assertFalse(SavedParts().should_save(KEY, 100, NOW))
