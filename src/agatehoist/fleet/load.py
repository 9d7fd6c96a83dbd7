"""Work that this process has handed out and that hasn't ended."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Prompt tokens that an engine reads in a second, before any was measured.
DEFAULT_PREFILL_TOKENS_PER_S = 40_000.0
# What each answer under way adds to a step of its engine.
STEP_S_PER_RUN = 0.0005


@dataclass(slots=True)
class _Work:
    runs: int = 0
    unread_tokens: int = 0


class Ticket:
    """Hold one piece of work on an endpoint until it ends."""

    def __init__(self, work: _Work, unread_tokens: int) -> None:
        self._work = work
        self._unread_tokens = unread_tokens
        work.runs += 1
        work.unread_tokens += unread_tokens

    def note_first_piece(self) -> None:
        """Note that the prompt has been read."""
        self._work.unread_tokens -= self._unread_tokens
        self._unread_tokens = 0

    def end(self) -> None:
        """Note that the work has ended."""
        self.note_first_piece()
        self._work.runs -= 1


class Load:
    """Count unanswered work by the lifetime of an endpoint."""

    def __init__(self) -> None:
        self._work_by_lifetime: dict[str, _Work] = {}

    @contextmanager
    def track(self, lifetime: str, unread_tokens: int) -> Iterator[Ticket]:
        """Count work while the context lasts."""
        work = self._work_by_lifetime.setdefault(lifetime, _Work())
        ticket = Ticket(work, unread_tokens)
        try:
            yield ticket
        finally:
            ticket.end()
            if not work.runs:
                self._work_by_lifetime.pop(lifetime, None)

    def runs(self, lifetime: str) -> int:
        """Return how much work an endpoint has from here."""
        work = self._work_by_lifetime.get(lifetime)
        return work.runs if work else 0

    def wait_s(self, lifetime: str) -> float:
        """Estimate how long a new prompt waits for those before it, in seconds."""
        work = self._work_by_lifetime.get(lifetime)
        if work is None:
            return 0.0
        reading_s = work.unread_tokens / DEFAULT_PREFILL_TOKENS_PER_S
        return reading_s + work.runs * STEP_S_PER_RUN
