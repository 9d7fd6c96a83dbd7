"""Tests of the parsing of stored records of shares."""

from __future__ import annotations

import unittest
from typing import Any

from parameterized import parameterized

from agatehoist.core.document_reader import InvalidDocumentError
from agatehoist.software.records import MAX_NUMBER, read_record, write_record
from agatehoist.software.types import (
    MAX_PERIODS,
    MAX_VERSIONS,
    SharePeriod,
    ShareRecord,
)
from tests.test_gateway.test_stored_objects import ODD_INTEGERS, ODD_TEXTS, ODD_VALUES

RECORD = ShareRecord(
    "engines",
    3,
    (SharePeriod(7.5, {"": 1.0}), SharePeriod(9.25, {"": 0.25, "v2": 0.75})),
)
ODD_NUMBERS = [*ODD_VALUES, ("text", "7"), ("negative", -1)]
ODD_LISTS = [*ODD_VALUES, ("numbers", [7]), ("empty", []), ("none", None)]


def spec_of(**fields: Any) -> dict[str, Any]:
    """Return a spec with fields of the record, its period or its share replaced."""
    share = {"software": "v1", "share": 1.0}
    period = {"began_at": 7.5, "shares": [share]}
    spec = {"service": "engines", "number": 3, "periods": [period]}
    for name, value in fields.items():
        next(each for each in (spec, period, share) if name in each)[name] = value
    return spec


class RecordTests(unittest.TestCase):
    def test_round_trip(self) -> None:
        self.assertEqual(read_record(write_record(RECORD)), RECORD)
        self.assertEqual(read_record({**write_record(RECORD), "new": [1]}), RECORD)
        read_record(spec_of())

    @parameterized.expand(
        [
            (f"{field}_{name}", field, value)
            for fields, values in (
                (("number",), [*ODD_INTEGERS, ("zero", 0), ("large", MAX_NUMBER + 1)]),
                (("service", "software"), [*ODD_TEXTS, ("long", "v" * 300)]),
                (("began_at",), ODD_NUMBERS),
                (("share",), [*ODD_NUMBERS, ("above_one", 1.5), ("nothing", 0.0)]),
                (("periods", "shares"), ODD_LISTS),
            )
            for field in fields
            for name, value in values
        ]
        + [
            (
                "too_many_periods",
                "periods",
                write_record(RECORD)["periods"][:1] * (MAX_PERIODS + 1),
            ),
            (
                "too_many_versions",
                "shares",
                [
                    {"software": f"v{each}", "share": 0.1}
                    for each in range(MAX_VERSIONS + 1)
                ],
            ),
            ("times_go_back", "periods", write_record(RECORD)["periods"][::-1]),
            ("repeated_version", "shares", [{"software": "v1", "share": 0.5}] * 2),
        ]
    )
    def test_odd_record_is_rejected(self, _name: str, field: str, value: Any) -> None:
        with self.assertRaises(InvalidDocumentError):
            read_record(spec_of(**{field: value}))
