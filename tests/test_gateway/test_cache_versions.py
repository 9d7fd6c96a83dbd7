"""Tests that no request uses KV cache that other weights computed."""

from __future__ import annotations

import unittest

import anyio
import structlog
from parameterized import parameterized

from standins.users_platform.harness import GatewayHarness, running_gateway


class UnexpectedWeightsTests(unittest.TestCase):
    # Case, the version that the reply states, and whether it is reported.
    @parameterized.expand([("expected", 1, 0), ("newer", 2, 1)])
    def test_reply_on_unexpected_weights_leaves_a_line(
        self, _name: str, stated: int, lines: int
    ) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    # The endpoint doesn't check the version that the request expects.
                    each.version, each.checks_version = stated, False
                await world.ask_prompt("/trace/1")

        with structlog.testing.capture_logs() as logs:
            anyio.run(run)
        events = [each["event"] for each in logs]
        self.assertEqual(events.count("reply made on unexpected weights"), lines)
