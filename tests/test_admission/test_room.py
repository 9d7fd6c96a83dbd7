"""Tests of the room that an engine has for a prompt."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.admission.room import EngineState, Need, held_tokens, room_for

IDLE = EngineState(
    prefill_tokens_per_s=32_400.0,
    step_s=0.006,
    stride=4,
    memory_tokens=70_000,
    runs=0,
    unprocessed_tokens=0,
    held_tokens=0,
    slots=64,
)
BUSY = replace(IDLE, runs=20)
SLOW = replace(BUSY, prefill_tokens_per_s=0.6 * 32_400, step_s=0.01)
# Four steps of an event with 2,048 tokens each.
EVENT_TOKENS = 4 * 2048


class PauseTests(unittest.TestCase):
    # Case, the engine, prompt tokens to read, and the pause in seconds.
    @parameterized.expand(
        [
            ("nobody_is_harmed", IDLE, 9000, 0.0),
            ("nothing_to_read", BUSY, 0, 0.024),
            ("short_prompt", BUSY, 648, 0.024 + 648 / 32_400),
            ("long_prompt", BUSY, 90_000, 0.024 + EVENT_TOKENS / 32_400),
            ("slow_engine", SLOW, 90_000, 0.04 + EVENT_TOKENS / 19_440),
            (
                "earlier_prompts_count",
                replace(BUSY, unprocessed_tokens=3000),
                648,
                0.024 + 3648 / 32_400,
            ),
        ]
    )
    def test_pause_of_streams_is_that_of_chunked_prefill(
        self, _name: str, engine: EngineState, missing: int, pause_s: float
    ) -> None:
        room = room_for(Need(missing, 0, 0.4), engine)
        self.assertAlmostEqual(room.pause_s, pause_s)


class StartTests(unittest.TestCase):
    def test_prompts_ahead_and_own_are_read_at_the_measured_rate(self) -> None:
        engine = replace(SLOW, unprocessed_tokens=5000, noise=1.5)
        room = room_for(Need(2000, 0, 0.4), engine)
        self.assertAlmostEqual(room.wait_s, 5000 / 19_440 + 3 * 0.01)
        self.assertAlmostEqual(room.read_s, 2000 / 19_440 + 0.01)
        self.assertEqual(room.noise, 1.5)


class MemoryTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("fits", 60_000, 9000, 0),
            ("preempts", 65_000, 9000, 4000),
            ("larger_than_the_memory", 0, 80_000, 10_000),
        ]
    )
    def test_prompt_that_preempts_others_is_short_of_memory(
        self, _name: str, held: int, needed: int, short: int
    ) -> None:
        room = room_for(Need(100, needed, 0.4), replace(BUSY, held_tokens=held))
        self.assertEqual(room.short_tokens, short)

    def test_unknown_memory_is_never_short(self) -> None:
        room = room_for(Need(100, 80_000, 0.4), replace(BUSY, memory_tokens=0))
        self.assertEqual(room.short_tokens, 0)

    # Case, tokens of shared parts by run, tokens of the parts in memory, and how many
    # of these are in use.
    @parameterized.expand(
        [
            ("no_parts", 0, 0, 0),
            ("part_not_read_yet", 6300, 0, 6300),
            ("unused_parts_are_evicted", 0, 50_000, 0),
            ("many_runs_share_a_part", 63_000, 6300, 6300),
            ("few_runs_on_many_parts", 6300, 63_000, 5995),
        ]
    )
    def test_shared_parts_are_not_counted_for_each_run(
        self, _name: str, shared: int, cached: int, used: int
    ) -> None:
        self.assertEqual(held_tokens(1000, shared, cached), 1000 + used)


class FullTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("room_left", BUSY, False),
            ("slots", replace(BUSY, runs=60), True),
            ("memory", replace(BUSY, held_tokens=65_000), True),
            ("nothing_known", replace(SLOW, runs=600, slots=0), False),
        ]
    )
    def test_full_engine_is_not_taken_for_a_faulty_one(
        self, _name: str, engine: EngineState, is_full: bool
    ) -> None:
        self.assertEqual(engine.is_full, is_full)
