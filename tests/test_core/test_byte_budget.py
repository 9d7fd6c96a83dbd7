"""Tests of which buffers are dropped when a process holds too many bytes."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from agatehoist.core.byte_budget import (
    BufferUsage,
    ByteBudget,
    ByteBudgetExceededError,
)
from agatehoist.core.clock import ManualClock

LIMIT_BYTES = 1000
SMALL_BYTES = 50


@dataclass(frozen=True, slots=True)
class Held:
    """Describe a buffer: whose it is, its size, and since when it has not grown."""

    name: str
    group: str
    size: int
    idle_s: float = 0.0
    is_bounded: bool = False
    is_kept: bool = False


class EvictionTests(unittest.TestCase):
    # Whether the buffer was evicted or closed by its holder.
    @parameterized.expand([("evicted", True), ("closed", False)])
    def test_growth_of_a_dropped_buffer_evicts_no_other(
        self, _name: str, is_evicted: bool
    ) -> None:
        """Input may arrive for a buffer before its task learns of the eviction."""
        budget = ByteBudget(LIMIT_BYTES, SMALL_BYTES)
        dropped = budget.open_buffer("a", lambda: None)
        other = budget.open_buffer("b", lambda: None)
        dropped.add_bytes(LIMIT_BYTES - 200)
        if is_evicted:
            dropped.evict()
        else:
            dropped.close()
        other.add_bytes(LIMIT_BYTES // 2)
        dropped.set_bytes(LIMIT_BYTES - 100)
        self.assertFalse(other.is_evicted)
        self.assertEqual(budget.held_bytes, LIMIT_BYTES // 2)

    # The buffers held, and the first letters of those that are evicted as "new"
    # of the group "a" grows by 300 bytes; "new" itself is the one that doesn't fit.
    @parameterized.expand(
        [
            ("room", [Held("x", "b", 600)], []),
            ("another", [Held("x", "b", 800)], ["x"]),
            ("own_group_holds_most", [Held("x", "a", 500), Held("y", "b", 400)], ["x"]),
            (
                "one_sound_beside_many",
                [Held("sound", "c", 400), *[Held(f"x{n}", "b", 150) for n in range(4)]],
                ["x", "x"],
            ),
            (
                "stalled_for_longest",
                [Held("x", "b", 400, 1.0), Held("y", "b", 500, 0.1)],
                ["x"],
            ),
            (
                "unknown_length_first",
                [Held("x", "b", 700, 9.0, is_bounded=True), Held("y", "c", 200)],
                ["y"],
            ),
            ("complete_bodies_stay", [Held("x", "b", 800, is_kept=True)], ["new"]),
            ("small_ones_stay", [Held(f"x{n}", "b", 50) for n in range(18)], ["new"]),
        ]
    )
    def test_buffer_that_others_are_dropped_for(
        self, _name: str, held: list[Held], expected: list[str]
    ) -> None:
        clock = ManualClock(100.0)
        budget = ByteBudget(LIMIT_BYTES, SMALL_BYTES, clock)
        evicted: list[str] = []
        for each in held:
            usage = budget.open_buffer(
                each.group, lambda name=each.name: evicted.append(name)
            )
            usage.add_bytes(each.size)
            usage.progress_at -= each.idle_s
            usage.is_bounded = each.is_bounded
            if each.is_kept:
                usage.keep()
        new = budget.open_buffer("a", lambda: evicted.append("new"))
        try:
            new.add_bytes(300)
        except ByteBudgetExceededError:
            evicted.append("new")
        self.assertEqual([each[0] for each in evicted], [each[0] for each in expected])
        self.assertLessEqual(budget.held_bytes, LIMIT_BYTES)

    # The buffers held, with what was processed for their 10 bytes, and the one that is
    # dropped as a fourth opens.
    @parameterized.expand(
        [
            ("most_work", [("x", "a", 9), ("y", "a", 90), ("z", "a", 0)], "y"),
            ("largest_group", [("x", "a", 0), ("y", "a", 9), ("z", "b", 99)], "y"),
            ("longest_open", [("x", "a", 0), ("y", "a", 0), ("z", "a", 0)], "x"),
        ]
    )
    def test_buffer_that_cost_most_is_dropped_when_too_many_are_open(
        self, _name: str, held: list[tuple[str, str, int]], expected: str
    ) -> None:
        """Callers that send bodies in small chunks must not crowd out others."""
        clock = ManualClock(100.0)
        budget = ByteBudget(LIMIT_BYTES, SMALL_BYTES, clock, max_open=3)
        evicted: list[str] = []
        for name, group, framing_bytes in held:
            usage = budget.open_buffer(group, lambda name=name: evicted.append(name))
            usage.add_bytes(10)
            usage.framing_bytes = framing_bytes
            clock.advance_to(clock.now() + 1.0)
        budget.open_buffer("a", lambda: evicted.append("new"))
        self.assertEqual(evicted, [expected])

    def test_small_buffers_fit_beside_a_full_budget(self) -> None:
        """Sound requests with small bodies are served beside any others."""
        budget = ByteBudget(LIMIT_BYTES, SMALL_BYTES)
        full = budget.open_buffer("b")
        full.add_bytes(LIMIT_BYTES)
        budget.open_buffer("a").add_bytes(SMALL_BYTES)
        self.assertEqual(budget.held_bytes, LIMIT_BYTES + SMALL_BYTES)

    def test_bytes_return_to_the_budget_once(self) -> None:
        budget = ByteBudget(LIMIT_BYTES)
        usages: list[BufferUsage] = []
        for size in (300, 400):
            usages.append(budget.open_buffer("a", lambda: None))
            usages[-1].set_bytes(size)
        usages[0].set_bytes(100)
        self.assertEqual(budget.held_bytes, 500)
        usages[0].evict()
        usages[0].close()
        usages[0].set_bytes(200)
        self.assertTrue(usages[0].is_evicted)
        self.assertEqual(budget.held_bytes, 400)
        usages[1].close()
        self.assertEqual(budget.held_bytes, 0)
