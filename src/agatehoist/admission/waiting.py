"""Jobs that wait for their turn, with the sum of their work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.admission.types import Waiting
    from agatehoist.core.identity import AttemptId


class WaitingJobs:
    """Hold the waiting jobs by attempt and count their missing tokens."""

    def __init__(self) -> None:
        self.missing_tokens = 0.0
        self._waiting_by_id: dict[AttemptId, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        return attempt_id in self._waiting_by_id

    def __getitem__(self, attempt_id: AttemptId) -> Waiting:
        return self._waiting_by_id[attempt_id]

    def put(self, waiting: Waiting) -> None:
        """Hold a job in place of what is held for its attempt."""
        self.pop(waiting.job.attempt_id)
        self._waiting_by_id[waiting.job.attempt_id] = waiting
        self.missing_tokens += waiting.job.missing_tokens

    def pop(self, attempt_id: AttemptId) -> Waiting | None:
        """Give up the job of an attempt, if one is held."""
        waiting = self._waiting_by_id.pop(attempt_id, None)
        if waiting is not None:
            self.missing_tokens -= waiting.job.missing_tokens
        if not self._waiting_by_id:
            # Rounding must not add up over days.
            self.missing_tokens = 0.0
        return waiting
