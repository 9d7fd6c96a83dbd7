"""Tests of the linear fit and of the registered slopes."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from bench.capacity import __main__  # noqa: F401
from bench.capacity.slopes import SLOPES, fit_line

LINES = [
    ("exact", [10.0, 20.0, 30.0, 40.0], 10.0, 0.0, 0.0),
    ("with_base", [15.0, 25.0, 35.0, 45.0], 10.0, 5.0, 0.0),
    ("bent", [10.0, 20.0, 30.0, 44.0], 11.2, -2.0, 1.2 / 44),
]


class SlopeTests(unittest.TestCase):
    @parameterized.expand(LINES)
    def test_fits_line(
        self,
        _name: str,
        values: list[float],
        slope: float,
        intercept: float,
        residual: float,
    ) -> None:
        line = fit_line((1, 2, 3, 4), values)
        self.assertAlmostEqual(line.slope, slope)
        self.assertAlmostEqual(line.intercept, intercept)
        self.assertLessEqual(abs(line.residual - residual), 0.02)

    @parameterized.expand(
        [(name,) for name in SLOPES.names() if "time" not in SLOPES[name].unit]
    )
    def test_slope_is_measured_at_four_sizes_or_more(self, name: str) -> None:
        self.assertGreaterEqual(len(SLOPES[name].sizes), 4)

    @parameterized.expand([("sidecar: cache picture",), ("router: host list",)])
    def test_memory_grows_with_size(self, name: str) -> None:
        spec = SLOPES[name]
        small, large = (spec.measure(size) for size in (spec.sizes[0], spec.sizes[1]))
        self.assertGreater(large, small)
