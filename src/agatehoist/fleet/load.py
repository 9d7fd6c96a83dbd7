"""Work in flight on the endpoints, dispatched by this process and by its peers."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.protocol.node_reports import EndpointLoad, NodeReport, endpoint_key

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Prefill rate assumed for every engine, as the gateway measures none.
DEFAULT_PREFILL_TOKENS_PER_S = 40_000.0
# Time that each run in progress adds to a step of its engine, the computation of one
# token for all its runs, and thereby to the wait of a new prompt.
STEP_TIME_S_PER_RUN = 0.0005
# A peer with work in flight reports at least once a second; a silent one is gone.
PEER_REPORT_MAX_AGE_S = 1.5
# A peer that is silent for longer is forgotten, with the sequence number of its last
# report.
PEER_RETENTION_S = 60.0
NO_LOAD = EndpointLoad(0, 0)


class _Work:
    # Prompt tokens are unread until their prefill is done.
    def __init__(self) -> None:
        self.runs = 0
        self.unprocessed_tokens = 0


class TrackedRequest:
    """Count one request in the load of an endpoint until it ends."""

    def __init__(
        self, work: _Work, unprocessed_tokens: int, on_change: Callable[[], None]
    ) -> None:
        self._work = work
        self._unprocessed_tokens = unprocessed_tokens
        self._on_change = on_change
        work.runs += 1
        work.unprocessed_tokens += unprocessed_tokens
        on_change()

    def note_prefill_done(self) -> None:
        """Stop counting the prompt tokens as unread."""
        if self._unprocessed_tokens:
            self._work.unprocessed_tokens -= self._unprocessed_tokens
            self._unprocessed_tokens = 0
            self._on_change()

    def end(self) -> None:
        """Stop counting the request."""
        self.note_prefill_done()
        self._work.runs -= 1
        self._on_change()


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Hold the work in flight of another node as of its last report."""

    started_ms: int
    sequence: int
    loads_by_key: dict[bytes, EndpointLoad]
    received_at: float


class Load:
    """Count work in flight by endpoint lifetime, of this process and of its peers."""

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._work_by_lifetime: dict[str, _Work] = {}
        self._peers_by_node: dict[str, PeerLoad] = {}
        self._on_change = on_change

    def snapshot(self) -> dict[bytes, EndpointLoad]:
        """Return the work in flight of this process."""
        return {
            endpoint_key(lifetime): EndpointLoad(work.runs, work.unprocessed_tokens)
            for lifetime, work in self._work_by_lifetime.items()
        }

    def accept_report(self, report: NodeReport, now: float) -> None:
        """Store a peer's report unless a newer one has arrived before."""
        known = self._peers_by_node.get(report.node)
        loads_by_key = report.loads_by_key
        if known is not None:
            before = (known.started_ms, known.sequence)
            if (report.started_ms, report.sequence) <= before:
                return
            # A report that isn't whole leaves out endpoints whose load hasn't changed.
            if not report.whole and known.started_ms == report.started_ms:
                loads_by_key = {**known.loads_by_key, **loads_by_key}
        self._peers_by_node[report.node] = PeerLoad(
            report.started_ms, report.sequence, loads_by_key, now
        )
        for node, peer in tuple(self._peers_by_node.items()):
            if now > peer.received_at + PEER_RETENTION_S:
                del self._peers_by_node[node]

    @contextmanager
    def track(self, lifetime: str, unprocessed_tokens: int) -> Iterator[TrackedRequest]:
        """Count a request, with or without a prompt, until the context exits."""
        work = self._work_by_lifetime.setdefault(lifetime, _Work())
        tracked = TrackedRequest(work, unprocessed_tokens, self._on_change)
        try:
            yield tracked
        finally:
            tracked.end()
            if not work.runs:
                self._work_by_lifetime.pop(lifetime, None)

    def runs(self, lifetime: str, now: float) -> int:
        """Count the requests in progress on an endpoint from all known nodes."""
        return sum(each.runs for each in self._loads(lifetime, now))

    def wait_s(self, lifetime: str, now: float) -> float:
        """Estimate how long a new prompt waits for those ahead of it, in seconds."""
        loads = tuple(self._loads(lifetime, now))
        unprocessed_tokens = sum(each.unprocessed_tokens for each in loads)
        runs = sum(each.runs for each in loads)
        return (
            unprocessed_tokens / DEFAULT_PREFILL_TOKENS_PER_S
            + runs * STEP_TIME_S_PER_RUN
        )

    def _loads(self, lifetime: str, now: float) -> Iterator[EndpointLoad]:
        own = self._work_by_lifetime.get(lifetime)
        if own is not None:
            yield EndpointLoad(own.runs, own.unprocessed_tokens)
        key = endpoint_key(lifetime)
        for peer in self._peers_by_node.values():
            load = peer.loads_by_key.get(key)
            if load is not None and now <= peer.received_at + PEER_REPORT_MAX_AGE_S:
                yield load


def changed_loads(
    before: dict[bytes, EndpointLoad], after: dict[bytes, EndpointLoad]
) -> dict[bytes, EndpointLoad]:
    """Return the changes between two snapshots, with a zero load where work ended."""
    changed = {key: load for key, load in after.items() if before.get(key) != load}
    return changed | dict.fromkeys(before.keys() - after.keys(), NO_LOAD)
