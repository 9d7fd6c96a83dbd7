"""Tests of the limits on callers that follow from the limits of the machine."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.gateway.caller_limits import CallerLimits, caller_limits
from agatehoist.gateway.settings import MachineLimits

MIB = 1024 * 1024


class CallerLimitsTests(unittest.TestCase):
    # Memory in MB and descriptors by the settings, descriptors that the kernel allows.
    @parameterized.expand(
        [
            ("smallest", 128, 1638, 4096, CallerLimits(512, 64, 16 * MIB)),
            ("largest", 552, 10_250, 20_000, CallerLimits(2208, 276, 69 * MIB)),
            ("few_descriptors", 128, 400, 4096, CallerLimits(200, 64, 16 * MIB)),
            ("fewer_by_the_kernel", 128, 400, 100, CallerLimits(50, 64, 16 * MIB)),
            ("unknown", 0, 0, 1024, CallerLimits(512, 64, 16 * MIB)),
        ]
    )
    def test_connections_fit_into_the_machine(
        self, _name: str, memory: int, most: int, allowed: int, expected: CallerLimits
    ) -> None:
        """Descriptors for endpoints and the store must be left, and memory."""
        found = caller_limits(MachineLimits(memory, most), allowed)
        self.assertEqual(found, expected)
