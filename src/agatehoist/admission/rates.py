"""Processing rates of an endpoint, estimated from its answers."""

from __future__ import annotations

# Initial values of the estimates; a slot is held from the start of a job to its end.
INITIAL_PREFILL_TOKENS_PER_S = 20_000.0
INITIAL_DECODE_TOKENS_PER_S = 50.0
INITIAL_ANSWER_TOKENS = 256.0
INITIAL_SLOT_HOLD_S = 0.1
# Shorter prefills are ignored in the estimate of the prefill rate.
MIN_PREFILL_SAMPLE_TOKENS = 256
# Samples counted at the start, and the weight of an initial value that is no rate.
INITIAL_SAMPLES = 2.0
# From this number of samples n on, each new one scales the older sums by 1 - 1/n.
DECAY_AFTER_SAMPLES = 32.0


class DecayingRatio:
    """Keep a ratio of two sums in which older samples weigh less.

    It starts at the initial value, whose weight is in the unit of the denominator.
    """

    def __init__(self, initial: float, initial_weight: float) -> None:
        self._initial = initial
        self._initial_weight = initial_weight
        self._numerator = initial * initial_weight
        self._denominator = initial_weight
        self._samples = INITIAL_SAMPLES

    @property
    def value(self) -> float:
        """Return the current ratio."""
        return self._numerator / self._denominator

    @property
    def added(self) -> tuple[float, float]:
        """Return the sums without the initial value, as far as it still counts."""
        numerator = self._numerator - self._initial * self._initial_weight
        return max(0.0, numerator), max(0.0, self._denominator - self._initial_weight)

    def fade(self, keep: float) -> None:
        """Scale the samples down, so that the ratio moves to its initial value."""
        initial = self._initial * self._initial_weight
        self._numerator = initial + keep * (self._numerator - initial)
        self._denominator = self._initial_weight + keep * (
            self._denominator - self._initial_weight
        )

    def add(self, numerator: float, denominator: float) -> None:
        """Add one sample; after enough of them, the older ones are scaled down."""
        if self._samples >= DECAY_AFTER_SAMPLES:
            keep = 1 - 1 / DECAY_AFTER_SAMPLES
            self._numerator *= keep
            self._denominator *= keep
        else:
            self._samples += 1
        self._numerator += numerator
        self._denominator += denominator


class LearnedRates:
    """Estimate the rates of an endpoint; they start from fixed initial values."""

    def __init__(self) -> None:
        # The weight of an initial value is in seconds for a rate, else in samples.
        self._prefill = DecayingRatio(INITIAL_PREFILL_TOKENS_PER_S, 0.1)
        self._decode = DecayingRatio(INITIAL_DECODE_TOKENS_PER_S, 0.1)
        self._answer = DecayingRatio(INITIAL_ANSWER_TOKENS, INITIAL_SAMPLES)
        self._slot_hold = DecayingRatio(INITIAL_SLOT_HOLD_S, INITIAL_SAMPLES)

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prompt tokens that the endpoint computes per second."""
        return self._prefill.value

    @property
    def decode_tokens_per_s(self) -> float:
        """Return the tokens per second of a single answer."""
        return self._decode.value

    @property
    def answer_tokens(self) -> float:
        """Return the expected number of tokens in an answer."""
        return self._answer.value

    @property
    def slot_hold_s(self) -> float:
        """Return the expected time for which a job holds a slot, in seconds."""
        return self._slot_hold.value

    def learn_prefill(self, tokens: int, seconds: float) -> None:
        """Add one prefill; those of fewer tokens than the minimum are ignored."""
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS and seconds > 0:
            self._prefill.add(tokens, seconds)

    def learn_answer(self, tokens: int, seconds: float) -> None:
        """Add the tokens of one answer and the seconds since its first token."""
        self._answer.add(tokens, 1)
        if tokens > 1 and seconds > 0:
            self._decode.add(tokens - 1, seconds)

    def learn_slot_hold(self, seconds: float) -> None:
        """Add the time for which a job held its slot, in seconds."""
        self._slot_hold.add(seconds, 1)
