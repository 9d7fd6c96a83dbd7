"""Tests of the keys of the operators' interface."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.configuration.keys import digest_key
from agatehoist.operators.access import holds_operator_key

OLD = digest_key("old-key")
NEW = digest_key("new-key")

CASES = [
    ("first", "Bearer old-key", (OLD, NEW), True),
    ("second_during_rotation", "bearer new-key", (OLD, NEW), True),
    ("after_rotation", "Bearer old-key", (NEW,), False),
    ("wrong", "Bearer nothing", (OLD, NEW), False),
    ("no_scheme", "old-key", (OLD,), False),
    ("empty", "", (OLD,), False),
    ("digest_is_no_key", f"Bearer {OLD}", (OLD,), False),
]


class AccessTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_key(
        self, _name: str, header: str, digests: tuple[str, ...], expected: bool
    ) -> None:
        self.assertEqual(holds_operator_key(header, digests), expected)
