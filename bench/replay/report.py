"""Text table of the metrics of replays."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.replay.metrics import ReplayMetrics

# recomp is the recomputed ratio, fair the fairness, used the utilisation of the prefill
# capacity and again the number of retries.
HEADER = (
    f"{'policy':14} {'reports':8} {'hit':>6} {'short p50/p95/p99 s':>20} "
    f"{'long p50/p95/p99 s':>20} {'all p99':>7} {'recomp':>7} {'fair':>6} "
    f"{'probes':>6} {'bytes':>6} {'used':>5} {'again':>5}"
)


def format_row(policy: str, reports: str, metrics: ReplayMetrics) -> str:
    """Return one line of the table."""
    return (
        f"{policy:14} {reports:8} {metrics.hit_rate:6.3f} "
        f"{_times(metrics.short_ttft):>20} {_times(metrics.long_ttft):>20} "
        f"{metrics.all_ttft_p99:7.3f} {metrics.recomputed_ratio:7.3f} "
        f"{metrics.fairness:6.3f} {metrics.probes_per_request:6.1f} "
        f"{metrics.control_bytes_per_request:6.0f} {metrics.utilisation:5.2f} "
        f"{metrics.retries:5d}"
    )


def _times(values: tuple[float, ...]) -> str:
    return "/".join(f"{value:.3f}" for value in values)
