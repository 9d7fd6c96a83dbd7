"""Tests of the documentation page that lists the refusals."""

from __future__ import annotations

import unittest
from pathlib import Path

from agatehoist.refusals.kinds import REFUSALS

PAGE = Path("docs/usage/errors.md")


class ErrorsPageTests(unittest.TestCase):
    def test_page_lists_every_refusal(self) -> None:
        rows = {line for line in PAGE.read_text().splitlines() if line.startswith("|")}
        for code in REFUSALS:
            kind = REFUSALS[code]
            start = f"| `{code}` | {int(kind.status)} | {kind.run} |"
            found = [row for row in rows if row.startswith(start)]
            self.assertEqual(len(found), 1, f"{PAGE} needs a row {start}")
