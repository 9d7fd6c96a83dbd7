"""Tests of the packages that are installed with the gateway."""

from __future__ import annotations

import importlib.metadata
import subprocess
import sys
import unittest
from pathlib import Path

REQUIREMENTS = Path("requirements/gateway.txt")
# Libraries and the interpreter's startup import these if they are installed.
OPTIONAL_PACKAGES = {"setuptools", "sniffio"}
LIST_MODULES_PROGRAM = """
import sys
import agatehoist.cli.main
import agatehoist.cli.gateway
import anyio._backends._asyncio
print(*{name.partition(".")[0] for name in sys.modules})
"""


class PackagingTests(unittest.TestCase):
    def test_the_gateway_imports_only_what_its_build_installs(self) -> None:
        run = subprocess.run(
            [sys.executable, "-c", LIST_MODULES_PROGRAM],
            capture_output=True,
            text=True,
            check=True,
        )
        by_module = importlib.metadata.packages_distributions()
        required = {
            distribution.lower()
            for name in run.stdout.split()
            for distribution in by_module.get(name, ())
        }
        lines = REQUIREMENTS.read_text().splitlines()
        installed = {line.partition("==")[0].lower() for line in lines}
        self.assertEqual(
            required - installed - OPTIONAL_PACKAGES - {"agatehoist"}, set()
        )
        self.assertIn("anyio", required)
