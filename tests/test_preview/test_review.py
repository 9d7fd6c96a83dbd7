"""Tests of the checks of a configuration and of its differences, as text."""

from __future__ import annotations

import unittest
from typing import Any

from parameterized import parameterized

from agatehoist.platform.documents import read_draft
from agatehoist.platform.draft_text import difference_lines, finding_text
from agatehoist.preview.review import compare_versions, run_checks
from standins.users_platform.harness import APPLICATION, ENGINES, configuration, route

LIMITS, SERVICES = configuration()["Limits"], configuration()["Services"]
NINE_SLOTS = SERVICES[0] | {"Engine": SERVICES[0]["Engine"] | {"Slots": 9}}
LOOK = route("look", "idempotent", APPLICATION)
HALF = {"Service": APPLICATION, "Weight": 0.5}
NONE = {"Service": "lost", "Weight": 0}
RATE = {"Name": "rate", "ApiKeys": ["secret"], "RatePerS": 5}
TOKENS = {**RATE, "Name": "tokens", "Unit": "tokens", "Burst": 60}
LATE = {"TargetLatencyMs": 2000, "TargetGapMs": 3000}
ZERO = route("zero", "stream", ENGINES)
KEYLESS = TOKENS | {"ApiKeys": []}
SMALL = {"Name": "small", "UncachedTokens": 61}
UNFIT = [
    {"Name": ENGINES, "Engine": {"Stride": 4, "KvTokenBytes": 64}},
    {"Name": APPLICATION, "Engine": {"Stride": 4, "Slots": 5, "KvCapacity": 3}},
]
# Each finding or difference starts with a line of the text.
ENTRY_FINDINGS = """\
error: Services.application: 2 entries have this name
warning: Routes.late.PathPrefix: never matches: route 'look' has this host and prefix
error: Routes.empty.TrafficSplit: empty
error: Routes.zero.TrafficSplit: all weights are 0
warning: Routes.part.TrafficSplit: service 'lost' has the weight 0
warning: Routes.zero.TrafficSplit: service 'lost' isn't listed
warning: Routes.part.TrafficSplit: service 'lost' isn't listed
warning: Services.engines: no route names it
error: Tenants.tokens.ApiKeys[0]: organisation 'rate' holds this key too"""
LIMIT_FINDINGS = """\
warning: Routes.look.TargetLatencyMs: 2 s is over the route's limit of 1.5 s
warning: Routes.look.TargetGapMs: 3 s is over the route's limit of 1.5 s
warning: Tenants.rate.Burst: a rate without burst
warning: Tenants.tokens.UncachedTokens: 0
warning: Tenants.small.Burst: 60 is below one request of 61
warning: Limits.MaxHeaderBytes: over the limit of 9 bytes
warning: Limits.HeaderTimeoutMs: over the idle time-out of 0.1 s
warning: Services.engines.Engine.KvCapacity: 0
warning: Services.engines.Engine.KvTokenBytes: given without
warning: Services.application.Engine.Stride: over the memory of 3 tokens
warning: Services.application.Engine.Slots: more runs than"""
CHANGES = """\
~ Limits.MaxBodyBytes: 65536 -> 65537
~ Routes.look.TimeoutMs: 1500.0 -> 1234.567
- Routes.post: {Host: a.example
+ Routes.zero: {Host: a.example
~ Services.engines.Engine.Slots: 8 -> 9
- Tenants.crew: {
+ Tenants.rate: {
~ Version: 3 -> 4"""
IGNORED = "error: Version: not above 3\n- Tenants: {crew: "
NO_LIST = "- Tenants: {}\n~ Version: 3 -> 4"


class ReviewTests(unittest.TestCase):
    # Guards against a check that misses its fault or reports a valid configuration.
    @parameterized.expand(
        [
            ("valid", {}, ""),
            ("fitting", {"Tenants": [{**TOKENS, "UncachedTokens": 60}]}, ""),
            (
                "entries",
                {
                    "Routes": [
                        LOOK,
                        {**LOOK, "Name": "late"},
                        route("empty", "stream", ENGINES, TrafficSplit=[]),
                        ZERO | {"TrafficSplit": [NONE]},
                        route("part", "stream", ENGINES, TrafficSplit=[HALF, NONE]),
                    ],
                    "Services": [*SERVICES, SERVICES[1]],
                    "Tenants": [RATE | {"RatePerS": 0}, TOKENS | {"RatePerS": 0}],
                },
                ENTRY_FINDINGS,
            ),
            (
                "limits",
                {
                    "Routes": [LOOK | LATE, ZERO],
                    "Services": UNFIT,
                    "Tenants": [RATE, KEYLESS, KEYLESS | SMALL],
                    "Limits": {**LIMITS, "MaxBodyBytes": 9, "IdleTimeoutMs": 100},
                },
                LIMIT_FINDINGS,
            ),
        ]
    )
    def test_checks_find(self, _name: str, fields: Any, expected: str) -> None:
        draft = read_draft(configuration(**fields))
        self.assert_starts([finding_text(each) for each in run_checks(draft)], expected)

    # Guards against a change that isn't shown, and against keys in the output.
    @parameterized.expand(
        [
            ("same", {}, {}, ""),
            ("ignored", {}, {"Tenants": None}, IGNORED),
            (
                "all",
                {"Routes": [LOOK, route("post", "stream", ENGINES)]},
                {
                    "version": 4,
                    "Routes": [LOOK | {"TimeoutMs": 1234.567}, ZERO],
                    "Services": [NINE_SLOTS, SERVICES[1]],
                    "Tenants": [RATE],
                    "Limits": {**LIMITS, "MaxBodyBytes": 65537},
                },
                CHANGES,
            ),
            ("no_list", {"Tenants": []}, {"version": 4, "Tenants": None}, NO_LIST),
        ]
    )
    def test_differences(
        self, _name: str, before: Any, after: Any, expected: str
    ) -> None:
        drafts = [read_draft(configuration(**each)) for each in (before, after)]
        findings = [finding_text(each) for each in compare_versions(*drafts)]
        self.assert_starts([*findings, *difference_lines(*drafts)], expected)

    # Guards against a lowered allotment that is taken for a raised one.
    @parameterized.expand(
        [
            ("rate", TOKENS, {"RatePerS": 4}, True),
            ("burst", TOKENS, {"Burst": 59}, True),
            ("raised", TOKENS, {"RatePerS": 6, "Burst": 61}, False),
            ("unit", TOKENS, {"Unit": "requests"}, True),
            ("uncounted", TOKENS, {"UncachedTokens": 9}, True),
            ("first", TOKENS | {"RatePerS": 0}, {"RatePerS": 5}, True),
            ("no_limit", TOKENS, {"RatePerS": 0}, False),
        ]
    )
    def test_notes(self, _name: str, before: Any, change: Any, noted: bool) -> None:
        lists = ([before], [before | change])
        drafts = [read_draft(configuration(Tenants=each)) for each in lists]
        notes = [each for each in difference_lines(*drafts) if "lowered" in each]
        self.assert_starts(notes, "note: Tenants.tokens: lowered" if noted else "")

    def assert_starts(self, lines: list[str], expected: str) -> None:
        """Assert that each line starts with a line of the text and shows no key."""
        starts = expected.splitlines()
        shown = "\n".join(lines)
        self.assertEqual(len(lines), len(starts), shown)
        compared = zip(lines, starts, strict=True)
        self.assertEqual([line[: len(each)] for line, each in compared], starts)
        self.assertNotIn("secret", shown)
