"""Tests of the settings file of a process."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.document_reader import InvalidDocumentError
from agatehoist.platform.settings_file import load_settings

SETTINGS = """
NodeName: "front-fraser-1"
Ip: "10.1.0.30"
Zone: "fraser"
Listen:
  Front: "10.1.0.30:8782"
  Ready: "10.1.0.30:8789"
InternalPorts: [7340, 7355]
Seeds: ["10.1.0.30:8783", "10.2.0.22:8783"]
NewField: [1, 2]
Bounds:
  GraceS: 8
  RetrySlack: 56
  LeaseMs: 3000
Platform:
  Address: "10.200.1.7:8784"
Placement:
  ByFinish: true
  Spills: false
  WaitMsPerMb: 20
"""

DEEP = 200_000
DIGITS = "9" * 5000


def load_text(text: str) -> object:
    """Load the settings from a file with the text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.yaml"
        path.write_text(text)
        return load_settings(path)


class SettingsFileTests(unittest.TestCase):
    def test_settings_are_read_from_the_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.yaml"
            path.write_text(SETTINGS)
            settings = load_settings(path)
        self.assertEqual(settings.store, Address("10.200.1.7", 8784))
        self.assertEqual(settings.inner, Address("10.1.0.30", 7340))
        # The port of a seed is replaced by the inner port.
        self.assertIn(Address("10.2.0.22", 7340), settings.seeds)
        # Read from Bounds.LeaseMs.
        self.assertEqual(settings.order_turn_s, 3.0)
        self.assertEqual(settings.retries.slack, 56)
        self.assertFalse(settings.placement.spills)
        self.assertTrue(settings.placement.by_finish)
        self.assertEqual(settings.placement.wait_s_per_mb, 0.02)

    @parameterized.expand(
        [
            ("no_yaml", "a: [", "file"),
            ("no_table", "- 1", ""),
            ("no_node", SETTINGS.replace("NodeName", "Name"), "NodeName"),
            ("no_port", SETTINGS.replace(":8782", ""), "Listen.Front"),
            ("no_store", SETTINGS.replace("Address", "Host"), "Platform.Address"),
            ("words", SETTINGS.replace("GraceS: 8", "GraceS: x"), "Bounds.GraceS"),
            ("ports", SETTINGS.replace("[7340, 7355]", "[]"), "InternalPorts"),
            ("deep", f"a: {'[' * DEEP}", "file"),
            ("deep_mapping", "".join(f"{' ' * n}a:\n" for n in range(900)), "file"),
            ("endless_digits", f"NewField: {DIGITS}", "file"),
            ("long", f"NewField: {'a' * 2**21}", "file"),
            ("nul", 'NodeName: "a\0"', "file"),
            ("surrogate", SETTINGS.replace("front-fraser-1", r"\ud800"), "NodeName"),
            ("huge", SETTINGS.replace(": 56", ": 1" + 400 * "0"), "Bounds.RetrySlack"),
            ("infinite", SETTINGS.replace(": 56", ": .inf"), "Bounds.RetrySlack"),
            ("nan", SETTINGS.replace(": 56", ": .nan"), "Bounds.RetrySlack"),
            ("digits", SETTINGS.replace("8782", DIGITS), "Listen.Front"),
            ("port_zero", SETTINGS.replace("8782", "0"), "Listen.Front"),
            ("inner_port", SETTINGS.replace("7340", "65536"), "Ip"),
            ("inner_host", SETTINGS.replace('"10.1.0.30"', '"n1.example"'), "Ip"),
            ("seed", SETTINGS.replace("10.2.0.22:", "10.2.0.256:"), "Seeds"),
            (
                "store",
                SETTINGS.replace("10.200.1.7", "store.example"),
                "Platform.Address",
            ),
        ]
    )
    def test_findings_name_the_field(self, _name: str, text: str, place: str) -> None:
        with self.assertRaises(InvalidDocumentError) as caught:
            load_text(text)
        self.assertIn(place, [each.place for each in caught.exception.findings])
        self.assertLess(len(str(caught.exception)), 1000)

    def test_aliases_are_read(self) -> None:
        text = SETTINGS.replace("[7340, 7355]", "&ports [7340, 7355]")
        load_text(text.replace("NewField: [1, 2]", "NewField: *ports"))
