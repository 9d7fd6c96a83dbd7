"""Tests of the non-blocking output of log lines."""

from __future__ import annotations

import os
import unittest

from agatehoist.observability.output import BoundedOutput

LINE = "x" * 500 + "\n"
# More than MAX_BUFFERED_BYTES of the output and one line.
MAX_EXPECTED_BUFFER_BYTES = 4 * 1024 * 1024


class BoundedOutputTests(unittest.TestCase):
    def setUp(self) -> None:
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.output = BoundedOutput(self.write_end, max_lines_per_s=1_000_000)

    def _read(self) -> bytes:
        data = b""
        while True:
            try:
                data += os.read(self.read_end, 1 << 20)
            except BlockingIOError:
                return data
            finally:
                self.output.flush()

    def test_write_does_not_block_on_a_stalled_reader(self) -> None:
        for _ in range(20_000):
            self.output.write(LINE)
            self.output.flush()
        self.assertLess(self.output.buffered_bytes, MAX_EXPECTED_BUFFER_BYTES)

    def test_dropped_lines_are_counted_and_lines_stay_whole(self) -> None:
        for _ in range(20_000):
            self.output.write(LINE)
            self.output.flush()
        text = (self._read() + self._read()).decode()
        self.output.write(LINE)
        self.output.flush()
        text += self._read().decode()
        lines = text.splitlines()
        self.assertEqual(
            {each for each in lines if not each.startswith("{")}, {"x" * 500}
        )
        self.assertTrue(any("lines dropped" in each for each in lines))
