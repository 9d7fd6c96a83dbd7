"""Hosts that have reported that they take no new work."""

from __future__ import annotations

LEAVING_RETRY_S = 1.0


class Departures:
    """Record which hosts refuse new work; times are in epoch seconds.

    A host that reports that it is leaving is excluded although the host list, which may
    be long out of date, still has it. After `LEAVING_RETRY_S` it is tried again, since
    it may only have been loading weights, or another host may have taken its name.
    """

    def __init__(self) -> None:
        self._excluded_until_by_host: dict[str, float] = {}

    def note_leaving(self, host: str, now: float) -> None:
        """Exclude a host for `LEAVING_RETRY_S`."""
        self._excluded_until_by_host[host] = now + LEAVING_RETRY_S

    def is_excluded(self, host: str, now: float) -> bool:
        """Return whether a host is excluded at a given time."""
        excluded_until = self._excluded_until_by_host.get(host)
        return excluded_until is not None and excluded_until > now

    def excluded(self, now: float) -> frozenset[str]:
        """Return the hosts that are excluded at a given time."""
        until_by_host = self._excluded_until_by_host
        return frozenset(
            host
            for host, excluded_until in until_by_host.items()
            if excluded_until > now
        )

    def keep_only(self, hosts: frozenset[str]) -> None:
        """Discard the hosts that are no longer listed."""
        for host in self._excluded_until_by_host.keys() - hosts:
            del self._excluded_until_by_host[host]
