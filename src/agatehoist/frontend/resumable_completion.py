"""Completion that starts at its first token or at a resume point."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.frontend.resume_point import ResumePoint, encode_resume_point
from agatehoist.router.dispatch import complete, resume_completion
from agatehoist.router.requests import (
    CompletionRequest,
    Delta,
    Finished,
    ResumeRequest,
    Started,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from agatehoist.attempts.types import Target
    from agatehoist.router.state import RouterState

Event = Started | Delta | Finished


@dataclass(frozen=True, slots=True)
class ResumableCompletion:
    """Hold a completion request and the point that it resumes from, if any."""

    request: CompletionRequest
    resume_point: ResumePoint | None
    with_usage: bool

    @property
    def first(self) -> int:
        """Return the index of the first token to send."""
        return self.resume_point.first if self.resume_point else 0

    def events(self, state: RouterState) -> AsyncGenerator[Event]:
        """Start or resume the completion and yield its events."""
        request = self.request
        if self.resume_point is None:
            return complete(state, request)
        # The deadline of the attempt, then that of the request that resumes it.
        resume_request = ResumeRequest(
            request.organisation,
            self.resume_point.target,
            self.resume_point.first,
            self.resume_point.deadline,
            request.deadline,
        )
        return resume_completion(state, resume_request)

    def resume_point_at(self, target: Target, first: int) -> str:
        """Return the encoded point from which a caller can resume at token `first`."""
        deadline = (
            self.resume_point.deadline if self.resume_point else self.request.deadline
        )
        return encode_resume_point(ResumePoint(target, deadline, first))
