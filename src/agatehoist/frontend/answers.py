"""Completions that are begun or resumed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.frontend.resuming import ResumePoint, encode_point
from agatehoist.router.dispatch import complete, resume
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
class Answer:
    """Hold a decoded completion and, if it is resumed, from where."""

    request: CompletionRequest
    point: ResumePoint | None
    with_usage: bool

    @property
    def first(self) -> int:
        """Return the index of the first token to give."""
        return self.point.first if self.point else 0

    def events(self, state: RouterState) -> AsyncGenerator[Event]:
        """Return what happens to the request."""
        request = self.request
        if self.point is None:
            return complete(state, request)
        again = ResumeRequest(
            request.organisation,
            self.point.target,
            self.point.first,
            self.point.deadline,
            request.deadline,
        )
        return resume(state, again)

    def point_at(self, target: Target, first: int) -> str:
        """Return the text of the point from which a caller can resume."""
        deadline = self.point.deadline if self.point else self.request.deadline
        return encode_point(ResumePoint(target, deadline, first))
