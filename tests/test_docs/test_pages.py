"""Tests that the tests and link targets named in the documentation exist."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from parameterized import parameterized

PROOFS = Path("docs/development/proofs.md")
INVARIANT_ROW = re.compile(r"^\| (?!what must hold|---)", re.MULTILINE)
TEST_NAME = re.compile(r"`(test_\w+(?:\.\w+)*)`")
LINK = re.compile(r"\]\((?!http)([^)#]+)\)")
INVARIANT_COUNT = 9

PAGES = [*Path("docs").rglob("*.md"), Path("README.md"), Path("DEVELOPERS.md")]


class PageTests(unittest.TestCase):
    def test_every_invariant_has_a_row(self) -> None:
        self.assertEqual(
            len(INVARIANT_ROW.findall(PROOFS.read_text())), INVARIANT_COUNT
        )

    def test_named_tests_exist(self) -> None:
        sources = "".join(path.read_text() for path in Path("tests").rglob("*.py"))
        for name in TEST_NAME.findall(PROOFS.read_text()):
            with self.subTest(name):
                path = Path("tests", *name.split("."))
                exists = path.is_dir() or path.with_suffix(".py").exists()
                self.assertTrue(exists or f"def {name}(" in sources, name)

    @parameterized.expand([(str(page),) for page in PAGES])
    def test_link_targets_exist(self, page: str) -> None:
        for target in LINK.findall(Path(page).read_text()):
            self.assertTrue(Path(page).parent.joinpath(target).exists(), target)
