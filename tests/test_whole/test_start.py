"""Tests of errors at process start."""

from __future__ import annotations

import subprocess
import sys

from parameterized import parameterized

from tests.test_whole.support import FleetTestCase


class StartTests(FleetTestCase):
    @parameterized.expand([("router-0",), ("sidecar-engine-0",)])
    def test_port_in_use_is_reported_without_traceback(self, name: str) -> None:
        command = [sys.executable, "-m", *self.fleet.commands_by_name[name]]
        run = subprocess.run(command, capture_output=True, text=True, timeout=20)
        self.assertEqual(run.returncode, 1)
        lines = [line for line in run.stderr.splitlines() if "Address already" in line]
        self.assertEqual(len(lines), 1, run.stderr)
        self.assertRegex(lines[0], r"^agatehoist: can't listen on 127.0.0.1:\d+: ")
        self.assertNotIn("Traceback", run.stderr)
