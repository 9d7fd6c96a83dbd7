"""Print the measurements of each slope, its linear fit and the value at the target."""

from __future__ import annotations

import sys

from bench.capacity import (  # noqa: F401
    cache,
    configuration,
    gateway,
    links,
    placement,
    reports,
    sizes,
    traffic,
)
from bench.capacity.slopes import SLOPES, SlopeSpec, fit_line


def main(names: list[str]) -> None:
    """Measure the named slopes, or everything."""
    for name in names or SLOPES.names():
        _print_slope(SLOPES[name])
    if not names:
        sizes.print_sizes()
        traffic.print_idle_shares()


def _print_slope(spec: SlopeSpec) -> None:
    values = [spec.measure(size) for size in spec.sizes]
    line = fit_line(spec.sizes, values)
    print(f"\n{spec.name} ({spec.unit} per {spec.per})")
    for size, value in zip(spec.sizes, values, strict=True):
        print(f"  {size:>8,}  {value:>14,.1f}")
    print(
        f"  fit {line.intercept:,.1f} + {line.slope:,.3f} x,"
        f" residual {line.residual:.1%};"
        f" at {spec.target:,}: {line.value_at(spec.target):,.0f} {spec.unit}"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
