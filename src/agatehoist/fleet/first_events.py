"""Times from the dispatch of a request to the first event of its answer."""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.protocol.node_reports import endpoint_key

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.core.identity import AttemptId

# Number of measured times kept for each endpoint, and for how long they count.
MAX_SAMPLES = 8
SAMPLE_MAX_AGE_S = 5.0
# With fewer recent samples, little is known of an endpoint.
MIN_KNOWN_SAMPLES = 3
# Peers report the waits at slow endpoints once a second; datagrams may be lost.
PEER_WAIT_MAX_AGE_S = 2.5


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    wait_s: float


class FirstEventTimes:
    """Track how long requests wait at each endpoint; times are in epoch seconds."""

    def __init__(self) -> None:
        self._samples_by_lifetime: dict[str, deque[_Sample]] = {}
        self._sent_at_by_lifetime: dict[str, dict[AttemptId, float]] = {}
        self._peer_waits_by_key: dict[bytes, _Sample] = {}

    @contextmanager
    def waiting(
        self, lifetime: str, attempt: AttemptId, sent_at: float
    ) -> Iterator[None]:
        """Count an attempt as waiting in the context until its answer begins."""
        self._sent_at_by_lifetime.setdefault(lifetime, {})[attempt] = sent_at
        try:
            yield
        finally:
            self._sent_at_by_lifetime.get(lifetime, {}).pop(attempt, None)

    def note_first_event(self, lifetime: str, attempt: AttemptId, now: float) -> None:
        """Record that the answer to a request has begun."""
        sent_at = self._sent_at_by_lifetime.get(lifetime, {}).pop(attempt, None)
        if sent_at is not None:
            samples = self._samples_by_lifetime.setdefault(
                lifetime, deque(maxlen=MAX_SAMPLES)
            )
            samples.append(_Sample(now, now - sent_at))

    def note_peer_waits(self, waits_s_by_key: dict[bytes, float], now: float) -> None:
        """Record the waits that a peer has measured, by the keys of the endpoints."""
        recent = {
            key: sample
            for key, sample in self._peer_waits_by_key.items()
            if now <= sample.at + PEER_WAIT_MAX_AGE_S
        }
        for key, wait_s in waits_s_by_key.items():
            known = recent.get(key)
            if known is None or wait_s >= known.wait_s:
                recent[key] = _Sample(now, wait_s)
        self._peer_waits_by_key = recent

    def slow_endpoints(self, min_wait_s: float, now: float) -> dict[bytes, float]:
        """Return the waits that this process has measured, by endpoint key."""
        lifetimes = self._samples_by_lifetime.keys() | self._sent_at_by_lifetime.keys()
        waits_s = {each: self._own_slowest_s(each, now) for each in lifetimes}
        return {
            endpoint_key(lifetime): wait_s
            for lifetime, wait_s in waits_s.items()
            if wait_s >= min_wait_s
        }

    def slowest_s(self, lifetime: str, now: float) -> float:
        """Return the longest recent wait that is known, also at peers, or 0."""
        told = self._peer_waits_by_key.get(endpoint_key(lifetime))
        is_recent = told is not None and now <= told.at + PEER_WAIT_MAX_AGE_S
        told_s = told.wait_s if told is not None and is_recent else 0.0
        return max(told_s, self._own_slowest_s(lifetime, now))

    def _own_slowest_s(self, lifetime: str, now: float) -> float:
        """Return the longest recent wait, also of requests that still wait, or 0."""
        waiting_since = self._sent_at_by_lifetime.get(lifetime, {})
        waiting = (now - at for at in waiting_since.values())
        measured = (each.wait_s for each in self._recent(lifetime, now))
        return max((*waiting, *measured), default=0.0)

    def is_known(self, lifetime: str, now: float) -> bool:
        """Return whether enough answers have begun lately to judge an endpoint."""
        return len(self._recent(lifetime, now)) >= MIN_KNOWN_SAMPLES

    def forget(self, lifetime: str) -> None:
        """Drop what is known of an endpoint that has ended."""
        self._samples_by_lifetime.pop(lifetime, None)
        self._sent_at_by_lifetime.pop(lifetime, None)

    def _recent(self, lifetime: str, now: float) -> list[_Sample]:
        samples = self._samples_by_lifetime.get(lifetime, ())
        return [each for each in samples if now <= each.at + SAMPLE_MAX_AGE_S]
