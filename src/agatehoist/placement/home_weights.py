"""Weights by which endpoints get homes of prompts, from their measured speed."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

# A slow endpoint gets less than its share of the homes: at the usual load of a third,
# the least mean time to read a prompt is reached about there.
SPEED_EXPONENT = 2.0
# Measured rates follow pauses of engines that last seconds; homes must not.
SMOOTHING_S = 10.0
# The first rate of an endpoint is the assumed one, so rates are smoothed over half of
# the time since then at first, but not less than this.
MIN_SMOOTHING_S = 1.0
# Each choice asks for the weights of all endpoints, which change more slowly.
MIN_UPDATE_S = 0.25
# Weights are powers of this number, so that gateways which measure slightly different
# rates use the same ones.
STEP_RATIO = 1.5
# A weight changes once the rate is this many steps off, so that a rate between two
# steps doesn't move homes to and fro.
MIN_CHANGE_STEPS = 0.75


@dataclass(frozen=True, slots=True)
class _Weight:
    log_rate: float
    step: int
    since: float
    updated_at: float


class HomeWeights:
    """Keep a stable weight for each endpoint lifetime; times are in epoch seconds."""

    def __init__(self) -> None:
        self._weights_by_lifetime: dict[str, _Weight] = {}

    def weight(self, lifetime: str, rate: float, now: float) -> float:
        """Return the weight of an endpoint that now reads `rate` tokens per second."""
        known = self._weights_by_lifetime.get(lifetime)
        if known is not None and now < known.updated_at + MIN_UPDATE_S:
            return STEP_RATIO**known.step
        log_rate = math.log(max(1.0, rate))
        if known is None:
            known = _Weight(log_rate, round(_steps(log_rate)), now, now)
        else:
            known = _smoothed(known, log_rate, now)
        self._weights_by_lifetime[lifetime] = known
        return STEP_RATIO**known.step

    def known(self, lifetime: str) -> float | None:
        """Return the weight that was last in use, None if there is none."""
        known = self._weights_by_lifetime.get(lifetime)
        return None if known is None else STEP_RATIO**known.step

    def forget(self, lifetime: str) -> None:
        """Drop the weight of an endpoint that has ended."""
        self._weights_by_lifetime.pop(lifetime, None)


def _smoothed(known: _Weight, log_rate: float, now: float) -> _Weight:
    elapsed_s = max(0.0, now - known.updated_at)
    smoothing_s = min(SMOOTHING_S, max(MIN_SMOOTHING_S, (now - known.since) / 2))
    share = 1 - math.exp(-elapsed_s / smoothing_s)
    smoothed = known.log_rate + share * (log_rate - known.log_rate)
    steps = _steps(smoothed)
    is_off = abs(steps - known.step) > MIN_CHANGE_STEPS
    step = round(steps) if is_off else known.step
    return replace(known, log_rate=smoothed, step=step, updated_at=now)


def _steps(log_rate: float) -> float:
    return SPEED_EXPONENT * log_rate / math.log(STEP_RATIO)
