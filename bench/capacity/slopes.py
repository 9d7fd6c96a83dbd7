"""Registry of the measurements over several sizes, and a linear fit of each."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from agatehoist.core.registry import Registry

MIN_MEASUREMENT_S = 0.2


@dataclass(frozen=True, slots=True)
class SlopeSpec:
    """Describe a measurement, the sizes it is made at and the target size.

    Its values are in `unit`; `per` names what the sizes count.
    """

    name: str
    per: str
    unit: str
    sizes: tuple[int, ...]
    target: int
    measure: Callable[[int], float]


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Hold a linear fit and its largest residual as a share of the largest value."""

    slope: float
    intercept: float
    residual: float

    def value_at(self, size: int) -> float:
        """Return the value of the fitted line at a size."""
        return self.intercept + self.slope * size


SLOPES: Registry[SlopeSpec] = Registry("slope")


def slope(
    name: str, per: str, unit: str, sizes: tuple[int, ...], target: int
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    """Return a decorator that registers a measurement as a slope."""

    def decorate(measure: Callable[[int], float]) -> Callable[[int], float]:
        spec = SlopeSpec(name, per, unit, sizes, target, measure)
        SLOPES.register(name)(spec)
        return measure

    return decorate


def fit_line(sizes: tuple[int, ...], values: list[float]) -> LinearFit:
    """Return the least-squares fit of the values."""
    line = statistics.linear_regression(sizes, values)
    largest_value = max(map(abs, values)) or 1.0
    residual = max(
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return LinearFit(line.slope, line.intercept, residual / largest_value)


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that stay allocated for what build returns."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return float(after - before)


def processor_us(run: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds."""
    run()
    calls = 0
    started_at = time.process_time()
    while time.process_time() - started_at < MIN_MEASUREMENT_S:
        run()
        calls += 1
    return (time.process_time() - started_at) / calls * 1e6
