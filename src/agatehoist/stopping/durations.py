"""Measured durations of answers, by which the end of a request is estimated."""

from __future__ import annotations

# As in RFC 6298, the mean and the mean deviation are moving averages.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
MIN_SAMPLES = 8
# Routes come and go with the configuration; the one learned first is dropped.
MAX_ROUTES = 1024


class UsualTime:
    """Keep the mean and the mean deviation of a time in seconds."""

    def __init__(self) -> None:
        self.samples = 0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add(self, sample_s: float) -> None:
        """Add one measured time."""
        self.samples += 1
        if self.samples == 1:
            self._mean_s, self._deviation_s = sample_s, sample_s / 2
            return
        error_s = sample_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    def estimate_s(self, deviations: float) -> float:
        """Return the mean plus a multiple of the mean deviation."""
        return self._mean_s + deviations * self._deviation_s


class UsualDurations:
    """Learn how long answers take, by route.

    The duration of a stream is the time to its first event and one for each output
    token that the request allows; that of any other answer has no tokens.
    """

    def __init__(self) -> None:
        self._first_by_route: dict[str, UsualTime] = {}
        self._per_token_by_route: dict[str, UsualTime] = {}

    def add(self, route: str, first_s: float, tokens: int, rest_s: float) -> None:
        """Add a complete answer: the time to its first event, and the rest."""
        if route not in self._first_by_route:
            if len(self._first_by_route) >= MAX_ROUTES:
                oldest = next(iter(self._first_by_route))
                del self._first_by_route[oldest]
                del self._per_token_by_route[oldest]
            self._first_by_route[route] = UsualTime()
            self._per_token_by_route[route] = UsualTime()
        self._first_by_route[route].add(first_s)
        self._per_token_by_route[route].add(rest_s / max(1, tokens))

    def estimate_s(self, route: str, tokens: int, deviations: float) -> float | None:
        """Return how long an answer takes at most, or None if too few are known."""
        first = self._first_by_route.get(route)
        if first is None or first.samples < MIN_SAMPLES:
            return None
        per_token = self._per_token_by_route[route]
        rest_s = max(1, tokens) * per_token.estimate_s(deviations)
        return first.estimate_s(deviations) + rest_s
