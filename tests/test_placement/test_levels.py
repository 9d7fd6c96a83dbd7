"""Tests of the nested prefix levels of a prompt."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.placement.levels import MAX_LEVELS, find_levels, salt_for

BOOK = "verse " * 1000
SALT = salt_for("archive", "songs-8b", "1")

OTHER_SALTS = [
    ("organisation", salt_for("cooperative", "songs-8b", "1")),
    ("model", salt_for("archive", "lasts-3b", "1")),
    ("weights_version", salt_for("archive", "songs-8b", "2")),
]


class LevelsTests(unittest.TestCase):
    def test_shared_parts_share_levels(self) -> None:
        first = find_levels((BOOK, "section 1", "who?"), SALT)
        second = find_levels((BOOK, "section 1", "where?"), SALT)
        self.assertEqual(first[:-1], second[:-1])
        self.assertNotEqual(first[-1], second[-1])

    def test_one_text_shares_levels_at_doubling_lengths(self) -> None:
        first = find_levels((BOOK + "who?",), SALT)
        second = find_levels((BOOK + "where?",), SALT)
        shared = [a for a, b in zip(first, second, strict=True) if a == b]
        self.assertEqual([each.tokens for each in shared], [256, 512, 1024])

    @parameterized.expand(OTHER_SALTS)
    def test_salt_keeps_prefixes_apart(self, _name: str, salt: bytes) -> None:
        ours = {each.digest for each in find_levels((BOOK,), SALT)}
        theirs = {each.digest for each in find_levels((BOOK,), salt)}
        self.assertFalse(ours & theirs)

    @parameterized.expand([((),), (("",),), (("x",),), (("x",) * 100,)])
    def test_level_count_is_limited(self, parts: tuple[str, ...]) -> None:
        self.assertLessEqual(len(find_levels(parts, SALT)), MAX_LEVELS)
