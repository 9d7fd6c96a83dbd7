"""Hosts that said themselves that they take no new work."""

from __future__ import annotations

LEAVING_RETRY_S = 1.0


class Departures:
    """Remember which hosts take no new work; times are in seconds.

    The host list may lag by long, so the word of the host counts first. A host
    that is still listed after a while is asked again: it may only have loaded
    weights, or another may have taken its place.
    """

    def __init__(self) -> None:
        self._excluded_until_by_host: dict[str, float] = {}

    def note_leaving(self, host: str, now: float) -> None:
        """Exclude a host for a while."""
        self._excluded_until_by_host[host] = now + LEAVING_RETRY_S

    def is_excluded(self, host: str, now: float) -> bool:
        """Say whether a host isn't asked at a time."""
        until = self._excluded_until_by_host.get(host)
        return until is not None and until > now

    def excluded(self, now: float) -> frozenset[str]:
        """Return the hosts that aren't asked at a time."""
        until_by_host = self._excluded_until_by_host
        return frozenset(host for host, until in until_by_host.items() if until > now)

    def keep_only(self, hosts: frozenset[str]) -> None:
        """Forget the hosts that are listed no longer."""
        for host in self._excluded_until_by_host.keys() - hosts:
            del self._excluded_until_by_host[host]
