"""Suspicion of hosts that failed to answer, for a time that doubles per failure."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.placement.types import Candidate

FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 30.0
# While one request probes a host after its suspicion, others don't for this time.
EXCLUSIVE_PROBE_S = 1.0
MAX_SUSPECTS = 4096


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold the failures of a host and the epoch times until which it isn't probed.

    Until `probing_until` one request is probing the host and others don't.
    """

    suspected_until: float
    failures: int
    probing_until: float = 0.0


class SuspicionTable:
    """Exclude hosts that failed to answer, then probe them one request at a time."""

    def __init__(self) -> None:
        self._suspicions_by_host: dict[str, Suspicion] = {}

    def candidates_to_try(
        self, candidates: Iterable[Candidate], now: float
    ) -> tuple[Candidate, ...]:
        """Return the candidates that may be probed, or all if none may."""
        all_candidates = tuple(candidates)
        if not self._suspicions_by_host:
            return all_candidates
        allowed = tuple(each for each in all_candidates if self._allows(each.host, now))
        return allowed or all_candidates

    def begin_probe(self, host: str, now: float) -> None:
        """Record the probe of a suspected host, during which nothing else probes it."""
        suspicion = self._suspicions_by_host.get(host)
        if suspicion is not None:
            self._suspicions_by_host[host] = replace(
                suspicion, probing_until=now + EXCLUSIVE_PROBE_S
            )

    def note_failure(self, host: str, now: float) -> None:
        """Suspect a host for twice as long as last time, at most `MAX_SUSPICION_S`."""
        suspicion = self._suspicions_by_host.pop(host, None)
        if suspicion is not None and suspicion.suspected_until > now:
            # Concurrent requests fail together, so their failures count once.
            self._suspicions_by_host[host] = suspicion
            return
        failures = suspicion.failures + 1 if suspicion else 1
        length = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2 ** (failures - 1))
        self._suspicions_by_host[host] = Suspicion(now + length, failures)
        # The hosts that failed longest ago are dropped from a full table.
        while len(self._suspicions_by_host) > MAX_SUSPECTS:
            del self._suspicions_by_host[next(iter(self._suspicions_by_host))]

    def is_suspected(self, host: str, now: float) -> bool:
        """Return whether a host is suspected at an epoch time."""
        suspicion = self._suspicions_by_host.get(host)
        return suspicion is not None and suspicion.suspected_until > now

    def has_failed(self, host: str) -> bool:
        """Return whether a host has failed to answer and not answered since."""
        return host in self._suspicions_by_host

    def note_answer(self, host: str) -> None:
        """End the suspicion of a host that answered."""
        self._suspicions_by_host.pop(host, None)

    def _allows(self, host: str, now: float) -> bool:
        suspicion = self._suspicions_by_host.get(host)
        if suspicion is None:
            return True
        return max(suspicion.suspected_until, suspicion.probing_until) <= now
