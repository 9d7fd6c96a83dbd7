"""Prefills that the sidecar has started and the endpoint has not finished."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.admission.rates import INITIAL_PREFILL_TOKENS_PER_S

if TYPE_CHECKING:
    from agatehoist.core.identity import AttemptId

# Added to every estimate of a time to first token, also where no probe was sent.
PROBE_OVERHEAD_S = 0.002


class PendingPrefills:
    """Count the missing tokens of attempts without a first token.

    Missing tokens are prompt tokens that aren't cached, so that the endpoint has to
    compute them.
    """

    def __init__(self) -> None:
        self._tokens_by_attempt: dict[AttemptId, int] = {}

    def __len__(self) -> int:
        return len(self._tokens_by_attempt)

    def __contains__(self, attempt_id: object) -> bool:
        return attempt_id in self._tokens_by_attempt

    @property
    def pending_tokens(self) -> int:
        """Return the sum of the missing tokens."""
        return sum(self._tokens_by_attempt.values())

    def add(self, attempt_id: AttemptId, missing_tokens: int) -> None:
        """Count an attempt with its missing tokens."""
        self._tokens_by_attempt[attempt_id] = missing_tokens

    def discard(self, attempt_id: AttemptId) -> None:
        """Stop counting an attempt that has its first token or has ended."""
        self._tokens_by_attempt.pop(attempt_id, None)

    def ttft_estimate(self, missing_tokens: int) -> float:
        """Return the expected time to first token of a new attempt in seconds.

        The prefill rate is taken to be INITIAL_PREFILL_TOKENS_PER_S.
        """
        tokens = self.pending_tokens + missing_tokens
        return PROBE_OVERHEAD_S + tokens / INITIAL_PREFILL_TOKENS_PER_S
