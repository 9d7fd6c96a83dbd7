"""Processing rates of an endpoint, estimated from its answers."""

from __future__ import annotations

# Initial values of the estimates; a slot is held from the start of a job to its end.
INITIAL_PREFILL_TOKENS_PER_S = 20_000.0
INITIAL_DECODE_TOKENS_PER_S = 50.0
INITIAL_ANSWER_TOKENS = 256.0
INITIAL_SLOT_HOLD_S = 0.1
# Shorter prefills are not used as samples.
MIN_PREFILL_SAMPLE_TOKENS = 256
# Initial sample count, and weight in samples of an initial value that isn't a rate.
PRIOR_SAMPLES = 2.0
# From this many samples on, each new one scales the older sums by 1 - 1/SAMPLE_WINDOW.
SAMPLE_WINDOW = 32.0


class DecayingRatio:
    """Keep a ratio of two sums in which older samples weigh less.

    It starts at the initial value `prior`; its weight is in the denominator's unit.
    """

    def __init__(self, prior: float, prior_weight: float) -> None:
        self._numerator = prior * prior_weight
        self._denominator = prior_weight
        self._samples = PRIOR_SAMPLES

    @property
    def value(self) -> float:
        """Return the current ratio."""
        return self._numerator / self._denominator

    def add(self, numerator: float, denominator: float) -> None:
        """Add one sample, after scaling down the sums once the window is full."""
        if self._samples >= SAMPLE_WINDOW:
            keep = 1 - 1 / SAMPLE_WINDOW
            self._numerator *= keep
            self._denominator *= keep
        else:
            self._samples += 1
        self._numerator += numerator
        self._denominator += denominator


class LearnedRates:
    """Estimate an endpoint's rates, answer length and slot time from its answers.

    The estimates start from fixed initial values.
    """

    def __init__(self) -> None:
        # The weight of an initial value is in seconds for a rate, else in samples.
        self._prefill = DecayingRatio(INITIAL_PREFILL_TOKENS_PER_S, 0.1)
        self._decode = DecayingRatio(INITIAL_DECODE_TOKENS_PER_S, 0.1)
        self._answer = DecayingRatio(INITIAL_ANSWER_TOKENS, PRIOR_SAMPLES)
        self._slot_hold = DecayingRatio(INITIAL_SLOT_HOLD_S, PRIOR_SAMPLES)

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
