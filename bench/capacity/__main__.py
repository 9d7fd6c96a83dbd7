"""Print every slope with its fit and the value at the target size."""

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
from bench.capacity.slopes import SLOPES, SlopeSpec, fit


def main(names: list[str]) -> None:
    """Measure the named slopes, or everything."""
    for name in names or SLOPES.names():
        _print(SLOPES[name])
    if not names:
        sizes.print_sizes()
        traffic.print_idle()


def _print(spec: SlopeSpec) -> None:
    values = [spec.measure(size) for size in spec.sizes]
    line = fit(spec.sizes, values)
    print(f"\n{spec.name} ({spec.unit} per {spec.per})")
    for size, value in zip(spec.sizes, values, strict=True):
        print(f"  {size:>8,}  {value:>14,.1f}")
    print(
        f"  fit {line.intercept:,.1f} + {line.slope:,.3f} x,"
        f" residual {line.residual:.1%};"
        f" at {spec.target:,}: {line.at(spec.target):,.0f} {spec.unit}"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
