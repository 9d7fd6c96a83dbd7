"""Tests of the demo command."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import unittest

from parameterized import parameterized

TIMEOUT_S = 60
INTERRUPTED_STATUS = 130


class DemoTests(unittest.TestCase):
    def _start(self) -> subprocess.Popen[str]:
        demo = subprocess.Popen(
            [sys.executable, "-u", "-m", "demo"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.addCleanup(demo.communicate)
        return demo

    def _assert_no_process_left(self, demo: subprocess.Popen[str]) -> None:
        with self.assertRaises(ProcessLookupError):
            os.killpg(demo.pid, 0)

    def test_demo_succeeds_and_leaves_no_process(self) -> None:
        demo = self._start()
        output, errors = demo.communicate(timeout=TIMEOUT_S)
        self.assertEqual(demo.returncode, 0, errors)
        self.assertIn("stopped 11 processes, 0 with a failure", output)
        self._assert_no_process_left(demo)

    @parameterized.expand([("whole_group", os.killpg), ("demo_alone", os.kill)])
    def test_interrupt_leaves_no_process(self, _name: str, send_signal: object) -> None:
        demo = self._start()
        assert demo.stdout is not None
        demo.stdout.readline()
        assert callable(send_signal)
        send_signal(demo.pid, signal.SIGINT)
        self.assertEqual(demo.wait(TIMEOUT_S), INTERRUPTED_STATUS)
        self._assert_no_process_left(demo)
