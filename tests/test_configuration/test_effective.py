"""Tests of computing and encoding the configuration in force."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime

from parameterized import parameterized

from agatehoist.configuration.document import (
    Change,
    DeadlineRule,
    Document,
    FleetDefaults,
    PolicyException,
    Record,
    Target,
)
from agatehoist.configuration.effective import effective_configuration, next_lapse_at
from agatehoist.configuration.encoding import pack_record, unpack_record
from agatehoist.configuration.errors import BadRecordError
from agatehoist.configuration.types import EndpointRules, Model

NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)
DEFAULTS = FleetDefaults(models_by_name={"songs": Model(4096), "hymns": Model(512)})


def exception(
    rule: DeadlineRule = DeadlineRule.REVIEW, deadline: datetime | None = NOON
) -> PolicyException:
    """Return an exception that pins the weights of a model."""
    target = Target("model", "songs")
    values = {"weights_version": "2"}
    return PolicyException("pin", target, values, "why", "ana", deadline, rule)


def record(*exceptions: PolicyException) -> Record:
    """Return an accepted document with these exceptions."""
    change = Change("c1", "ana", "a change", NOON)
    return Record(7, change, Document(DEFAULTS, exceptions))


class EffectiveTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("no_exception", (), 0, "1"),
            ("before", (exception(DeadlineRule.LAPSE),), -1, "2"),
            ("lapsed", (exception(DeadlineRule.LAPSE),), 0, "1"),
            ("due_stays", (exception(DeadlineRule.REVIEW),), 9, "2"),
            ("open_end", (exception(DeadlineRule.LAPSE, None),), 9, "2"),
        ]
    )
    def test_exception_applies_until_it_lapses(
        self, _name: str, exceptions: tuple, offset_s: int, expected: str
    ) -> None:
        now = NOON.timestamp() + offset_s
        found = effective_configuration(record(*exceptions), now)
        self.assertEqual(found.revision, 7)
        self.assertEqual(found.models_by_name["songs"], Model(4096, expected))
        self.assertEqual(found.models_by_name["hymns"], Model(512))

    def test_exception_applies_only_to_the_endpoint_of_its_host(self) -> None:
        target = Target("endpoint", "host-3")
        checks = PolicyException("f", target, {"checks_fencing": True}, "why", "bo")
        found = effective_configuration(record(checks), 0)
        self.assertEqual(found.rules_of("host-3"), EndpointRules(checks_fencing=True))
        self.assertEqual(found.rules_of("host-4"), EndpointRules())

    @parameterized.expand(
        [
            (DeadlineRule.LAPSE, -5, NOON.timestamp()),
            (DeadlineRule.LAPSE, 5, None),
            (DeadlineRule.REVIEW, -5, None),
        ]
    )
    def test_next_lapse_is_the_deadline_of_a_lapsing_exception(
        self, rule: DeadlineRule, offset_s: int, expected: float | None
    ) -> None:
        document = record(exception(rule)).document
        found = next_lapse_at(document, NOON.timestamp() + offset_s)
        self.assertEqual(found, expected)

    def test_packed_round_trip(self) -> None:
        original = record(exception())
        self.assertEqual(unpack_record(pack_record(original), 7), original)

    @parameterized.expand([(b"",), (b"x",), (pack_record(record())[:-9],)])
    def test_invalid_payload_is_rejected(self, payload: bytes) -> None:
        with self.assertRaises(BadRecordError):
            unpack_record(payload, 7)
