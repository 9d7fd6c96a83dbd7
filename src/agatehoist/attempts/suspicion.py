"""Suspicion of hosts that don't answer, until a stored time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.placement.types import Candidate

FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 30.0
TRIAL_TIMEOUT_S = 1.0
MAX_SUSPECTS = 4096


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold until when a host is left out, and until when its trial runs."""

    suspected_until: float
    silences: int
    trial_until: float = 0.0


class Suspects:
    """Leave silent hosts out, then let one request at a time try them."""

    def __init__(self) -> None:
        self._suspicions_by_host: dict[str, Suspicion] = {}

    def trusted(
        self, candidates: Iterable[Candidate], now: float
    ) -> tuple[Candidate, ...]:
        """Return the candidates that may be probed; all if none is trusted."""
        found = tuple(candidates)
        if not self._suspicions_by_host:
            return found
        allowed = tuple(each for each in found if self._allows(each.host, now))
        return allowed or found

    def begin_probe(self, host: str, now: float) -> None:
        """Note a probe, which is a host's only one while it is on trial."""
        suspicion = self._suspicions_by_host.get(host)
        if suspicion is not None:
            self._suspicions_by_host[host] = replace(
                suspicion, trial_until=now + TRIAL_TIMEOUT_S
            )

    def note_silence(self, host: str, now: float) -> None:
        """Suspect a host for twice as long as the last time."""
        suspicion = self._suspicions_by_host.pop(host, None)
        if suspicion is not None and suspicion.suspected_until > now:
            # Requests that began together fail together; they count once.
            self._suspicions_by_host[host] = suspicion
            return
        silences = suspicion.silences + 1 if suspicion else 1
        length = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2 ** (silences - 1))
        self._suspicions_by_host[host] = Suspicion(now + length, silences)
        while len(self._suspicions_by_host) > MAX_SUSPECTS:
            del self._suspicions_by_host[next(iter(self._suspicions_by_host))]

    def is_suspected(self, host: str, now: float) -> bool:
        """Say whether a host is left out at an epoch time."""
        suspicion = self._suspicions_by_host.get(host)
        return suspicion is not None and suspicion.suspected_until > now

    def note_answer(self, host: str) -> None:
        """Trust a host again."""
        self._suspicions_by_host.pop(host, None)

    def _allows(self, host: str, now: float) -> bool:
        suspicion = self._suspicions_by_host.get(host)
        if suspicion is None:
            return True
        return max(suspicion.suspected_until, suspicion.trial_until) <= now
