"""Tables of the replays' figures."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.replay.measures import Figures

HEADER = (
    f"{'policy':14} {'reports':8} {'hit':>6} {'short p50/p95/p99 s':>20} "
    f"{'long p50/p95/p99 s':>20} {'all p99':>7} {'recomp':>7} {'fair':>6} "
    f"{'probes':>6} {'bytes':>6} {'used':>5} {'again':>5}"
)


def format_row(policy: str, reports: str, figures: Figures) -> str:
    """Return one line of the table."""
    return (
        f"{policy:14} {reports:8} {figures.hit_rate:6.3f} "
        f"{_times(figures.short_ttft):>20} {_times(figures.long_ttft):>20} "
        f"{figures.all_ttft_p99:7.3f} {figures.recomputed_ratio:7.3f} "
        f"{figures.fairness:6.3f} {figures.probes:6.1f} "
        f"{figures.control_bytes:6.0f} {figures.utilisation:5.2f} "
        f"{figures.retries:5d}"
    )


def _times(values: tuple[float, ...]) -> str:
    return "/".join(f"{value:.3f}" for value in values)
