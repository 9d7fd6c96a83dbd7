"""Tests of the validation of configuration files."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.configuration.check import check_source
from agatehoist.settings.source import parse_source

DIGEST = "ab" * 32
VALID = f"""\
based_on: 4
defaults:
  organisations:
    archive: {{key_digests: ["{DIGEST}"]}}
  models:
    songs-8b: {{context_tokens: 32768}}
  services:
    ledger: {{}}
  endpoint: {{checks_fencing: false}}
exceptions:
  - name: canary
    target: {{kind: model, name: songs-8b}}
    values: {{weights_version: "2"}}
    reason: try the new weights
    author: ana
    deadline: 2026-12-05T12:00:00Z
    at_deadline: lapse
"""

# Name, text in VALID, its replacement, and the starts of the expected findings.
FAULTS: list[tuple[str, str, str, set[str]]] = [
    ("unknown_model", "name: songs-8b", "name: nothing", {"12:33 unknown model"}),
    ("unknown_kind", "kind: model", "kind: moon", {"12:20 unknown kind"}),
    ("unknown_field", "weights_version", "colour", {"13:22 unknown key 'colour'"}),
    (
        "wrong_type",
        'weights_version: "2"',
        "placement: 2",
        {"13:25 2 is not of type str"},
    ),
    ("unknown_policy", 'weights_version: "2"', "placement: luck", {"13:25 unknown pl"}),
    ("no_reason", "    reason: try the new weights\n", "", {"11:5 missing key"}),
    ("blank_reason", "try the new weights", "' '", {"14:13 must not be empty"}),
    ("no_zone", "12:00:00Z", "12:00:00", {"16:15 datetime.datetime("}),
    ("date_only", "T12:00:00Z", "", {"16:15 datetime.date("}),
    ("bad_rule", "at_deadline: lapse", "at_deadline: x", {"17:18 'x' is not one of"}),
    ("bad_digest", DIGEST, "AB", {"4:29 is not a SHA-256"}),
    ("bad_base", "based_on: 4", "based_on: four", {"1:11 'four' is not of type int"}),
    (
        "bad_objectives",
        "  endpoint:",
        (
            "  objectives:\n    a: {kind: luck, target: 0.9}\n"
            "    b: {kind: ttft, target: 1.0, threshold_s: -1.0}\n  endpoint:"
        ),
        {"10:15 unknown objective", "11:29 must be above", "11:47 must not be"},
    ),
    ("unknown_key", "based_on", "founded_on", {"1:13 unknown key 'founded_on'"}),
    ("scalar_part", "services:\n    ledger: {}", "services: 3", {"7:13 "}),
    ("scalar_exception", "exceptions:", "exceptions:\n  - 5", {"11:5 must be a map"}),
]

INVALID_EXCEPTIONS = """\
  - name: canary
    target: {kind: model, name: songs-8b}
    values: {weights_version: "3"}
    reason: another
    author: bo
  - name: frozen
    target: {kind: organisation, name: nobody}
    values: {}
    author: bo
"""


class CheckTests(unittest.TestCase):
    def test_valid_file_gives_a_document(self) -> None:
        document, findings = check_source(parse_source("f.yaml", VALID))
        self.assertEqual(findings, [])
        assert document is not None
        self.assertEqual(document.based_on, 4)
        self.assertEqual(document.exceptions[0].values_by_field["weights_version"], "2")

    @parameterized.expand(FAULTS)
    def test_fault_is_reported_at_its_position(
        self, _name: str, old: str, new: str, expected: set[str]
    ) -> None:
        self.assertIn(old, VALID)
        self.assert_findings(VALID.replace(old, new, 1), expected)

    def test_findings_of_all_sections_are_reported_together(self) -> None:
        text = VALID.replace("songs-8b: {", "songs-8b: {placement: luck, ")
        expected = {
            "6:27 unknown placement policy 'luck'",
            "11:11 name 'canary' is used twice",
            "13:13 unknown placement policy 'luck'",
            "18:11 name 'canary' is used twice",
            "20:13 unknown placement policy 'luck'",
            "20:31 exception",
            "23:5 missing key 'reason'",
        }
        self.assert_findings(text + INVALID_EXCEPTIONS, expected)

    def assert_findings(self, text: str, expected: set[str]) -> None:
        document, findings = check_source(parse_source("f.yaml", text))
        self.assertIsNone(document)
        shown = [f"{each.line}:{each.column} {each.text}" for each in set(findings)]
        unmatched = [
            each for each in shown if not any(each.startswith(e) for e in expected)
        ]
        missing = [
            each for each in expected if not any(s.startswith(each) for s in shown)
        ]
        self.assertEqual((unmatched, missing), ([], []))
