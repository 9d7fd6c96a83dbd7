"""Load of an endpoint from the work that its sidecar admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.admission.rates import PREFILL_TOKENS_PER_S

if TYPE_CHECKING:
    from agatehoist.core.identity import AttemptId

PROBE_OVERHEAD_S = 0.002


class AdmittedLoad:
    """Count the prompt tokens that wait for their prefill."""

    def __init__(self) -> None:
        self._pending_by_attempt: dict[AttemptId, int] = {}

    def __len__(self) -> int:
        return len(self._pending_by_attempt)

    def __contains__(self, attempt_id: object) -> bool:
        return attempt_id in self._pending_by_attempt

    @property
    def pending_tokens(self) -> int:
        """Return the prompt tokens that wait."""
        return sum(self._pending_by_attempt.values())

    def admit(self, attempt_id: AttemptId, missing_tokens: int) -> None:
        """Count an attempt whose prefix lacks so many tokens."""
        self._pending_by_attempt[attempt_id] = missing_tokens

    def settle(self, attempt_id: AttemptId) -> None:
        """Stop counting an attempt that has its first token or has ended."""
        self._pending_by_attempt.pop(attempt_id, None)

    def ttft_estimate(self, missing_tokens: int) -> float:
        """Return the expected time to first token in seconds."""
        tokens = self.pending_tokens + missing_tokens
        return PROBE_OVERHEAD_S + tokens / PREFILL_TOKENS_PER_S
