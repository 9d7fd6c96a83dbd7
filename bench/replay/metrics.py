"""Metrics of one replay."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from bench.replay.trace import TraceRequest

TTFT_TARGET_S = 0.79
PERCENTILES = (50, 95, 99)


@dataclass(frozen=True, slots=True)
class ReplayMetrics:
    """Hold the results of one replay; times are in seconds.

    fairness is the Jain index over the organisations of their share of requests within
    TTFT_TARGET_S. utilisation is the computed share of the prefill capacity.
    recomputed_ratio is the number of computed tokens divided by the number of those
    that any host would have had to compute.
    """

    hit_rate: float
    short_ttft: tuple[float, ...]
    long_ttft: tuple[float, ...]
    all_ttft_p99: float
    recomputed_ratio: float
    fairness: float
    probes_per_request: float
    control_bytes_per_request: float
    utilisation: float
    retries: int


class MetricsCollector:
    """Count the requests, probes and retries of a replay."""

    def __init__(self) -> None:
        self.probes = 0
        self.control_bytes = 0
        self.retries = 0
        self._requests = 0
        self._prompt_tokens = 0
        self._cached_tokens = 0
        self._unavoidable_tokens = 0
        self._ttfts_by_priority: dict[Priority, list[float]] = defaultdict(list)
        self._ttfts_by_organisation: dict[str, list[float]] = defaultdict(list)

    def record_arrival(self, unavoidable_tokens: int) -> None:
        """Count a request and the prompt tokens that any host would have to compute."""
        self._requests += 1
        self._unavoidable_tokens += unavoidable_tokens

    def record_first_token(
        self, request: TraceRequest, ttft: float, cached_tokens: int
    ) -> None:
        """Record a request's time to first token in seconds and its cached tokens."""
        self._prompt_tokens += request.prompt_tokens
        self._cached_tokens += cached_tokens
        self._ttfts_by_priority[request.priority].append(ttft)
        self._ttfts_by_organisation[request.organisation].append(ttft)

    def summarise(self, computed_tokens: int, capacity_tokens: float) -> ReplayMetrics:
        """Return the metrics of the finished replay."""
        ttfts = self._ttfts_by_priority
        return ReplayMetrics(
            self._cached_tokens / self._prompt_tokens,
            _percentiles(ttfts[Priority.SHORT]),
            _percentiles(ttfts[Priority.LONG]),
            _percentiles(ttfts[Priority.SHORT] + ttfts[Priority.LONG])[-1],
            computed_tokens / self._unavoidable_tokens,
            _jain_index(
                [_within_target(e) for e in self._ttfts_by_organisation.values()]
            ),
            self.probes / self._requests,
            self.control_bytes / self._requests,
            computed_tokens / capacity_tokens,
            self.retries,
        )


def _percentiles(values: list[float]) -> tuple[float, ...]:
    ordered = sorted(values)
    last = len(ordered) - 1
    return tuple(ordered[last * percent // 100] for percent in PERCENTILES)


def _within_target(ttfts: list[float]) -> float:
    return sum(ttft <= TTFT_TARGET_S for ttft in ttfts) / len(ttfts)


def _jain_index(shares: list[float]) -> float:
    return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares))
