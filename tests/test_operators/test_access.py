"""Tests of the authentication of operators by bearer keys."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.configuration.keys import digest_key
from agatehoist.operators.access import has_valid_operator_key

OLD_DIGEST = digest_key("old-key")
NEW_DIGEST = digest_key("new-key")

HEADERS = [
    ("first", "Bearer old-key", (OLD_DIGEST, NEW_DIGEST), True),
    ("second_during_rotation", "bearer new-key", (OLD_DIGEST, NEW_DIGEST), True),
    ("after_rotation", "Bearer old-key", (NEW_DIGEST,), False),
    ("wrong", "Bearer nothing", (OLD_DIGEST, NEW_DIGEST), False),
    ("no_scheme", "old-key", (OLD_DIGEST,), False),
    ("empty", "", (OLD_DIGEST,), False),
    ("digest_is_no_key", f"Bearer {OLD_DIGEST}", (OLD_DIGEST,), False),
]


class AccessTests(unittest.TestCase):
    @parameterized.expand(HEADERS)
    def test_header_is_accepted_only_with_a_valid_key(
        self, _name: str, header: str, digests: tuple[str, ...], expected: bool
    ) -> None:
        self.assertEqual(has_valid_operator_key(header, digests), expected)
