"""Speeds of an endpoint, learned from its answers."""

from __future__ import annotations

PREFILL_TOKENS_PER_S = 20_000.0
DECODE_TOKENS_PER_S = 50.0
ANSWER_TOKENS = 256.0
HOLD_S = 0.1
MIN_PREFILL_SAMPLE_TOKENS = 256
PRIOR_SAMPLES = 2.0
SAMPLES_KEPT = 32.0


class DecayingRatio:
    """Hold a ratio of two sums in which older samples count less."""

    def __init__(self, prior: float, prior_weight: float) -> None:
        self._numerator = prior * prior_weight
        self._denominator = prior_weight
        self._samples = PRIOR_SAMPLES

    @property
    def value(self) -> float:
        """Return the ratio."""
        return self._numerator / self._denominator

    def add(self, numerator: float, denominator: float) -> None:
        """Take one sample."""
        if self._samples >= SAMPLES_KEPT:
            keep = 1 - 1 / SAMPLES_KEPT
            self._numerator *= keep
            self._denominator *= keep
        else:
            self._samples += 1
        self._numerator += numerator
        self._denominator += denominator


class LearnedRates:
    """Learn how fast an endpoint computes; rates are in tokens a second."""

    def __init__(self) -> None:
        self._prefill = DecayingRatio(PREFILL_TOKENS_PER_S, 0.1)
        self._decode = DecayingRatio(DECODE_TOKENS_PER_S, 0.1)
        self._answer = DecayingRatio(ANSWER_TOKENS, PRIOR_SAMPLES)
        self._hold = DecayingRatio(HOLD_S, PRIOR_SAMPLES)

    @property
    def prefill(self) -> float:
        """Return the prompt tokens that are computed in a second."""
        return self._prefill.value

    @property
    def decode(self) -> float:
        """Return the tokens of one answer that come in a second."""
        return self._decode.value

    @property
    def answer_tokens(self) -> float:
        """Return the tokens that an answer is expected to have."""
        return self._answer.value

    @property
    def hold_s(self) -> float:
        """Return the seconds for which a job is expected to hold a slot."""
        return self._hold.value

    def learn_prefill(self, tokens: int, seconds: float) -> None:
        """Take the computed tokens of one prefill and its time."""
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS and seconds > 0:
            self._prefill.add(tokens, seconds)

    def learn_answer(self, tokens: int, seconds: float) -> None:
        """Take the tokens of one answer and the time from its first token on."""
        self._answer.add(tokens, 1)
        if tokens > 1 and seconds > 0:
            self._decode.add(tokens - 1, seconds)

    def learn_hold(self, seconds: float) -> None:
        """Take the time for which a job held its slot."""
        self._hold.add(seconds, 1)
