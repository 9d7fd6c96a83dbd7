"""The refusal that a caller receives."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.work import Run
from agatehoist.errors import AgatehoistError


@dataclass(frozen=True, slots=True)
class Refusal:
    """Say why a request got no answer and, in `run`, whether it was run."""

    code: str
    detail: str
    run: Run
    retry_at: float | None = None


class RequestRefusedError(AgatehoistError):
    """Carry a refusal to the front end."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.code}: {refusal.detail}")
        self.refusal = refusal
