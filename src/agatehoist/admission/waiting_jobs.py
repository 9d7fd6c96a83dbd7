"""Jobs that have not started, with the sum of their missing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.admission.types import WaitingJob
    from agatehoist.core.identity import AttemptId


class WaitingJobs:
    """Keep the waiting jobs by attempt and sum up their missing tokens."""

    def __init__(self) -> None:
        self.missing_tokens = 0.0
        self._waiting_by_id: dict[AttemptId, WaitingJob] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        return attempt_id in self._waiting_by_id

    def __getitem__(self, attempt_id: AttemptId) -> WaitingJob:
        return self._waiting_by_id[attempt_id]

    def put(self, waiting: WaitingJob) -> None:
        """Add a job, in place of any other of the same attempt."""
        self.pop(waiting.job.attempt_id)
        self._waiting_by_id[waiting.job.attempt_id] = waiting
        self.missing_tokens += waiting.job.missing_tokens

    def pop(self, attempt_id: AttemptId) -> WaitingJob | None:
        """Remove and return the job of an attempt, if there is one."""
        waiting = self._waiting_by_id.pop(attempt_id, None)
        if waiting is not None:
            self.missing_tokens -= waiting.job.missing_tokens
        if not self._waiting_by_id:
            # Discard any rounding error of the float sum, which would add up over days.
            self.missing_tokens = 0.0
        return waiting
