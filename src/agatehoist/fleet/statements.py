"""What endpoints say of themselves in their answers: limits, leaving and pauses."""

from __future__ import annotations

from dataclasses import dataclass, replace

# An endpoint says nothing while it gets no requests, so what it said last holds for so
# long. One that leaves has ended by then.
NOTICE_VALID_S = 600.0
# A longer pause is taken for an error of the endpoint.
MAX_PAUSE_S = 600.0
# A higher limit, which no endpoint reaches, is taken for an error of the endpoint.
MAX_LIMIT_PER_S = 1e6
# Beyond this number, the endpoint without news for the longest time is forgotten.
MAX_ENDPOINTS = 4096
# Limits that differ by a smaller share are no news for other nodes.
MIN_LIMIT_CHANGE = 0.1


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold what an endpoint says of itself in one answer.

    `limit_per_s` is the number of requests a second that it takes from all nodes
    together. From this node it wants no requests until the epoch time `paused_until`.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    paused_until: float | None = None


NO_STATEMENT = Statement()


@dataclass(frozen=True, slots=True)
class Notice:
    """Hold what an endpoint last said to any node that concerns all nodes.

    `endpoint` is a key made by `endpoint_key`; `stated_at` is in epoch seconds.
    """

    endpoint: bytes
    limit_per_s: float | None
    leaving: bool
    stated_at: float


class EndpointStatements:
    """Keep what endpoints said of themselves, here and at peers, until it expires."""

    def __init__(self) -> None:
        self._notices_by_endpoint: dict[bytes, Notice] = {}
        # Pauses concern this node alone, so they aren't told to others.
        self._paused_until_by_endpoint: dict[bytes, float] = {}

    def note(
        self, endpoint: bytes, statement: Statement, sent_at: float, now: float
    ) -> Notice | None:
        """Record the statement in the answer to a request that was sent at a time.

        Returns a notice if it is news for other nodes.
        """
        if statement.paused_until is not None:
            self._pause(endpoint, statement.paused_until, now)
        before = self._notice(endpoint, now)
        if before is None and statement.limit_per_s is None and not statement.leaving:
            return None
        limit_per_s, stated_at = statement.limit_per_s, now
        # The answer to an earlier request doesn't show that a limit has ended.
        if before is not None and limit_per_s is None and sent_at < before.stated_at:
            limit_per_s, stated_at = before.limit_per_s, before.stated_at
        leaving = statement.leaving or (before is not None and before.leaving)
        notice = Notice(endpoint, limit_per_s, leaving, stated_at)
        return notice if self._record(notice, before) else None

    def accept(self, notice: Notice, now: float) -> bool:
        """Record the notice of a peer; return whether it is news for other nodes."""
        if now >= notice.stated_at + NOTICE_VALID_S:
            return False
        before = self._notice(notice.endpoint, now)
        if before is not None:
            # An endpoint that has begun to leave goes on leaving.
            leaving = notice.leaving or before.leaving
            newest = max(notice, before, key=lambda each: each.stated_at)
            notice = replace(newest, leaving=leaving)
        return self._record(notice, before)

    def limit_per_s(self, endpoint: bytes, now: float) -> float | None:
        """Return the limit that an endpoint has named, or None."""
        notice = self._notice(endpoint, now)
        return notice.limit_per_s if notice is not None else None

    def paused_until(self, endpoint: bytes, now: float) -> float | None:
        """Return until when an endpoint wants nothing from this node, or None."""
        until = self._paused_until_by_endpoint.get(endpoint)
        return until if until is not None and now < until else None

    def is_leaving(self, endpoint: bytes, now: float) -> bool:
        """Return whether an endpoint has said that it leaves."""
        notice = self._notice(endpoint, now)
        return notice is not None and notice.leaving

    def stated_since(self, since: float) -> tuple[Notice, ...]:
        """Return the notices of answers after a time."""
        return tuple(
            each
            for each in self._notices_by_endpoint.values()
            if each.stated_at > since
        )

    def _pause(self, endpoint: bytes, until: float, now: float) -> None:
        paused = self._paused_until_by_endpoint
        until = min(until, now + MAX_PAUSE_S)
        paused[endpoint] = max(until, paused.pop(endpoint, until))
        while len(paused) > MAX_ENDPOINTS:
            del paused[next(iter(paused))]

    def _notice(self, endpoint: bytes, now: float) -> Notice | None:
        notice = self._notices_by_endpoint.get(endpoint)
        if notice is None or now >= notice.stated_at + NOTICE_VALID_S:
            return None
        return notice

    def _record(self, notice: Notice, before: Notice | None) -> bool:
        self._notices_by_endpoint.pop(notice.endpoint, None)
        self._notices_by_endpoint[notice.endpoint] = notice
        while len(self._notices_by_endpoint) > MAX_ENDPOINTS:
            del self._notices_by_endpoint[next(iter(self._notices_by_endpoint))]
        if before is None or before.leaving != notice.leaving:
            return True
        return _has_changed(before.limit_per_s, notice.limit_per_s)


def _has_changed(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > MIN_LIMIT_CHANGE * before
