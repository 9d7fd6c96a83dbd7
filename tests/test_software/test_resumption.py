"""Tests of where a stream that is resumed began, by what a gateway knows."""

from __future__ import annotations

import unittest
from typing import Any

from parameterized import parameterized

from agatehoist.software.journal import JournaledVersions, id_digest
from agatehoist.software.resumption import FoundOrigin, OriginEvidence, find_origin
from tests.test_software.support import (
    HALVES,
    NEW,
    NOW,
    OLD,
    ONLY_NEW,
    ONLY_OLD,
    record_of,
    request_id_of,
)

MOVED = request_id_of(NEW)
STEADY = record_of((90, HALVES))
CHANGED = record_of((90, ONLY_OLD), (10, HALVES))
NOTHING = JournaledVersions({})


def named(*versions: str, request_id: str = MOVED) -> JournaledVersions:
    """Return journals that name versions for a stream."""
    return JournaledVersions({id_digest(request_id): frozenset(versions)})


class FindOriginTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("assigned", {"record": STEADY}, (NEW, "assigned")),
            ("assigned_unreadable", {"record": STEADY, "journaled": None}, (NEW, "")),
            # A stream whose version had no endpoint began at another one.
            (
                "exception",
                {"record": STEADY, "journaled": named(OLD)},
                (OLD, "journal"),
            ),
            ("ambiguous", {"record": CHANGED}, None),
            ("ambiguous_unreadable", {"record": CHANGED, "journaled": None}, None),
            (
                "journaled",
                {"record": CHANGED, "journaled": named(OLD)},
                (OLD, "journal"),
            ),
            ("two_named", {"record": STEADY, "journaled": named(OLD, NEW)}, None),
            (
                "changed_for_long",
                {"record": record_of((90, ONLY_OLD), (36, ONLY_NEW))},
                (NEW, "assigned"),
            ),
            (
                "no_id",
                {"record": record_of((90, ONLY_NEW)), "request_id": None},
                (NEW, ""),
            ),
            ("no_id_two_shares", {"record": STEADY, "request_id": None}, None),
            (
                "no_id_old_share",
                {
                    "record": record_of((90, ONLY_OLD), (34, ONLY_NEW)),
                    "request_id": None,
                },
                None,
            ),
            ("one_listed", {}, (OLD, "only version listed")),
            (
                "one_listed_others_journaled",
                {"journaled": named(NEW, request_id="other")},
                None,
            ),
            ("one_listed_unreadable", {"journaled": None}, None),
            ("one_listed_shares_not_read", {"is_unrecorded": False}, None),
            ("two_listed", {"listed": frozenset({OLD, NEW})}, None),
        ]
    )
    def test_origin(
        self, _name: str, known: dict[str, Any], expected: tuple[str, str] | None
    ) -> None:
        fields = {
            "request_id": MOVED,
            "record": None,
            "journaled": NOTHING,
            "is_unrecorded": True,
            "listed": frozenset({OLD}),
            "now": NOW,
            **known,
        }
        found = find_origin(OriginEvidence(**fields))
        if expected is None:
            self.assertIsNone(found)
            return
        assert isinstance(found, FoundOrigin)
        self.assertEqual(found.software, expected[0])
        self.assertIn(expected[1], found.source)
