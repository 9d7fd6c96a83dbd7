"""Tests of the decisions on the shares of software versions, without a network."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.software.assignment import (
    ADOPTION_S,
    MAX_STREAM_AGE_S,
    possible_software,
)
from agatehoist.software.planning import (
    MIN_PERIOD_S,
    RETURN_DELAY_S,
    next_record,
    reconciled,
    write_delay_s,
)
from agatehoist.software.records import read_record, write_record
from agatehoist.software.types import (
    MAX_PERIODS,
    MAX_VERSIONS,
    SharePeriod,
    ShareRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.software.types import ShareRecord as Record

SERVICE = "engines"
START = 1_000.0
MATTERS_S = MAX_STREAM_AGE_S + ADOPTION_S
REQUEST_IDS = [f"r{number}" for number in range(100)]


def record_of(*periods: tuple[float, dict[str, float]]) -> Record:
    """Return a record with periods that begin so long after the start."""
    return ShareRecord(
        SERVICE, 7, tuple(SharePeriod(START + at, shares) for at, shares in periods)
    )


def play(
    slots_at: Callable[[float], dict[str, int]], duration_s: float, step_s: float = 0.25
) -> list[Record]:
    """Return the records that come of slots that change with time."""
    records: list[Record] = []
    for step in range(int(duration_s / step_s)):
        known = records[-1] if records else None
        slots = slots_at(step * step_s)
        record = next_record(known, SERVICE, slots, START + step * step_s)
        if record is not None:
            records.append(record)
    return records


class NextRecordTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("one_version", {"": 72}, {"": 1.0}),
            (
                "canary_of_one_among_nine",
                {"v1": 64, "v2": 8},
                {"v1": 0.8889, "v2": 0.1111},
            ),
            ("version_without_slots", {"v1": 64, "v2": 0}, {"v1": 1.0}),
            ("long_name", {"v1": 64, "v" * 200: 64}, {"v1": 1.0}),
            ("nothing_usable", {}, None),
        ]
    )
    def test_first_record(
        self, _name: str, slots: dict[str, int], shares: dict[str, float] | None
    ) -> None:
        record = next_record(None, SERVICE, slots, START)
        expected = shares and ShareRecord(SERVICE, 1, (SharePeriod(START, shares),))
        self.assertEqual(record, expected)

    # The shares in force since a time, the slots, and the shares that follow if any.
    @parameterized.expand(
        [
            ("same", 9, {"v1": 1.0}, {"v1": 8}, None),
            ("small_change", 9, {"v1": 0.5, "v2": 0.5}, {"v1": 54, "v2": 46}, None),
            ("large_change", 9, {"v1": 0.5, "v2": 0.5}, {"v1": 3, "v2": 1}, 0.75),
            ("too_early", 0.5, {"v1": 0.5, "v2": 0.5}, {"v1": 3, "v2": 1}, None),
            ("appears", 9, {"v1": 1.0}, {"v1": 99, "v2": 1}, 0.99),
            ("appears_early", 0.5, {"v1": 1.0}, {"v1": 99, "v2": 1}, None),
            ("vanishes", 0.1, {"v1": 0.99, "v2": 0.01}, {"v1": 9}, 1.0),
            ("all_vanish", 9, {"v1": 0.5, "v2": 0.5}, {}, None),
            ("clock_steps_back", -60, {"v1": 0.5, "v2": 0.5}, {"v1": 3, "v2": 1}, 0.75),
        ]
    )
    def test_change(
        self,
        _name: str,
        age_s: float,
        shares: dict[str, float],
        slots: dict[str, int],
        expected: float | None,
    ) -> None:
        known = record_of((0, shares))
        record = next_record(known, SERVICE, slots, START + age_s)
        if expected is None:
            self.assertIsNone(record)
            return
        assert record is not None
        self.assertEqual(record.number, known.number + 1)
        self.assertEqual(record.periods[:-1], known.periods)
        self.assertEqual(record.periods[-1].shares_by_software["v1"], expected)
        # Times of periods never go back.
        self.assertEqual(record.periods[-1].began_at, START + max(0, age_s))

    def test_whole_release_takes_few_periods(self) -> None:
        def slots_at(at: float) -> dict[str, int]:
            new = min(100, int(at * 2))
            return {"v1": 100 - new, "v2": new}

        records = play(slots_at, 60)
        self.assertEqual(records[-1].periods[-1].shares_by_software, {"v2": 1.0})
        self.assertLess(len(records), 25)
        for before, after in zip(records, records[1:], strict=False):
            kept = len(set(map(id, before.periods)) & set(map(id, after.periods)))
            self.assertEqual(kept, len(after.periods) - 1)

    # What comes and goes at each look, four times a second for a minute, and the most
    # records that this may cost.
    @parameterized.expand(
        [
            ("canary", {"v1": 64, "v2": 8}, {"v1": 64}, 20),
            ("either", {"v1": 8}, {"v2": 8}, 140),
            ("slots", {"v1": 8, "v2": 8}, {"v1": 16, "v2": 8}, 40),
            ("all", {"v1": 8}, {}, 1),
        ]
    )
    def test_flapping_is_not_written_each_time(
        self, _name: str, first: dict[str, int], then: dict[str, int], most: int
    ) -> None:
        records = play(lambda at: then if int(at * 4) % 2 else first, 60)
        self.assertLessEqual(len(records), most)
        for each in records:
            self.assertLessEqual(len(each.periods), MAX_PERIODS)
            self.assertEqual(read_record(write_record(each)), each)

    def test_version_that_vanished_once_is_back_at_once(self) -> None:
        known = record_of((0, {"v1": 0.5, "v2": 0.5}), (5, {"v1": 1.0}))
        slots = {"v1": 8, "v2": 8}
        record = next_record(known, SERVICE, slots, START + 5 + MIN_PERIOD_S)
        assert record is not None
        again = next_record(record, SERVICE, {"v1": 8}, START + 7)
        assert again is not None
        self.assertIsNone(next_record(again, SERVICE, slots, START + 9))
        at = START + 7 + RETURN_DELAY_S
        self.assertIsNotNone(next_record(again, SERVICE, slots, at))

    @parameterized.expand([("before", -0.1, 3), ("after", 0.1, 2)])
    def test_periods_that_matter_are_kept(
        self, _name: str, late_s: float, count: int
    ) -> None:
        known = record_of((0, {"v1": 1.0}), (50, {"v2": 1.0}))
        now = START + 50 + MATTERS_S + late_s
        record = next_record(known, SERVICE, {"v2": 8, "v3": 8}, now)
        assert record is not None
        self.assertEqual(len(record.periods), count)
        self.assertLessEqual(
            possible_software(known, "r1", now), possible_software(record, "r1", now)
        )

    # A record at the bound is changed only once a period may be dropped.
    @parameterized.expand([("needed", -0.1, False), ("old", 0.1, True)])
    def test_bound_on_periods_drops_none_that_is_needed(
        self, _name: str, late_s: float, is_changed: bool
    ) -> None:
        spans = [(0.5 * each, {f"v{each % 2}": 1.0}) for each in range(MAX_PERIODS)]
        known = record_of(*spans)
        now = START + 0.5 + MATTERS_S + late_s
        record = next_record(known, SERVICE, {"v3": 8}, now)
        self.assertEqual(record is not None, is_changed)

    def test_versions_beyond_the_bound_have_no_share(self) -> None:
        slots = {f"v{each}": each + 1 for each in range(MAX_VERSIONS + 5)}
        record = next_record(None, SERVICE, slots, START)
        assert record is not None
        shares = record.periods[0].shares_by_software
        self.assertEqual(len(shares), MAX_VERSIONS)
        self.assertNotIn("v0", shares)
        self.assertIsNone(next_record(record, SERVICE, slots, START + 9))


class ReconciliationTests(unittest.TestCase):
    def test_streams_of_either_record_are_resumed_after_a_restore(self) -> None:
        known = record_of((0, {"v1": 1.0}), (10, {"v1": 0.5, "v2": 0.5}))
        # Another gateway has gone on from the restored record.
        written = record_of((0, {"v1": 1.0}), (20, {"v3": 1.0}))
        now = START + 50
        merged = reconciled(known, written, now)
        self.assertEqual(merged.periods[-1].shares_by_software, {"v1": 0.5, "v2": 0.5})
        for each in REQUEST_IDS:
            both = possible_software(known, each, now) | {"v3"}
            self.assertLessEqual(both, possible_software(merged, each, now))

    @parameterized.expand([("older", 1, 6), ("none", 0, 0)])
    def test_older_copy_changes_nothing(
        self, _name: str, count: int, number: int
    ) -> None:
        known = record_of((0, {"v1": 1.0}), (10, {"v2": 1.0}))
        older = replace(known, number=number, periods=known.periods[:count])
        stored = older if count else None
        self.assertEqual(reconciled(known, stored, START + 12), known)


class WriteDelayTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("first", 0, True, 0.0, 0.0),
            ("first_not_urgent", 0, False, 0.25, 0.25),
            ("second", 1, True, 0.4, 0.4),
            ("second_not_urgent", 1, False, 2.4, 2.4),
            ("last", 389, True, 2.0, 4.0),
        ]
    )
    def test_delay(
        self, _name: str, place: int, is_urgent: bool, least: float, most: float
    ) -> None:
        for fraction, expected in ((0.0, least), (1.0, most)):
            delay_s = write_delay_s(place, 390, is_urgent, fraction)
            self.assertAlmostEqual(delay_s, expected)
