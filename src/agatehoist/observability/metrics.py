"""Metrics of the processes."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge, Histogram

TTFT_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.79, 1.5, 3.0, 6.0, 12.0]

TTFT_SECONDS = Histogram(
    "agatehoist_ttft_seconds", "Time to first token.", buckets=TTFT_BUCKETS_S
)
HIT_TOKENS = Counter("agatehoist_hit_tokens_total", "Prompt tokens found cached.")
RECOMPUTED_TOKENS = Counter(
    "agatehoist_recomputed_tokens_total", "Prompt tokens computed."
)
REFUSALS_TOTAL = Counter("agatehoist_refusals_total", "Refusals by code and run.")
OUTCOMES_TOTAL = Counter("agatehoist_outcomes_total", "Requests by outcome.")
PLATFORM_CALLS_TOTAL = Counter(
    "agatehoist_platform_calls_total", "Calls of the platform by purpose and outcome."
)
IN_FLIGHT = Gauge("agatehoist_in_flight", "Requests in flight.")

__all__ = [
    "HIT_TOKENS",
    "IN_FLIGHT",
    "OUTCOMES_TOTAL",
    "RECOMPUTED_TOKENS",
    "REFUSALS_TOTAL",
    "PLATFORM_CALLS_TOTAL",
    "REGISTRY",
    "TTFT_SECONDS",
]
