"""Work in flight on the endpoints, dispatched by this process and by its peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Self

from agatehoist.admission.rates import DecayingRatio
from agatehoist.fleet.first_events import FirstEventTimes
from agatehoist.protocol.node_reports import EndpointLoad, NodeReport, endpoint_key

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Prefill rate assumed for every engine, as the gateway measures none.
DEFAULT_PREFILL_TOKENS_PER_S = 40_000.0
# Time that each run in progress adds to a step of its engine, the computation of one
# token for all its runs, and thereby to the wait of a new prompt.
STEP_TIME_S_PER_RUN = 0.0005
# Time of a whole step that reads no prompt, assumed likewise.
DEFAULT_STEP_S = 0.006
# A peer with work in flight reports at least once a second; a silent one is gone.
PEER_REPORT_MAX_AGE_S = 1.5
# A peer that is silent for longer is forgotten, with the sequence number of its last
# report.
PEER_RETENTION_S = 60.0
NO_LOAD = EndpointLoad(0, 0)
# Time from the start of a run to its first token, besides the prompts read before it.
FIRST_TOKEN_S = 0.08
# Measured times correct the assumed rate within these bounds.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
INITIAL_SLOWNESS_WEIGHT_S = 0.5
# Comparing all endpoints for each request would be slow in a large fleet.
SLOWEST_MAX_AGE_S = 0.1


class _Work:
    # Prompt tokens are unread until their prefill is done.
    def __init__(self) -> None:
        self.runs = 0
        self.unprocessed_tokens = 0

    @property
    def load(self) -> EndpointLoad:
        return EndpointLoad(self.runs, self.unprocessed_tokens)


class TrackedRequest:
    """Count one request in the load of an endpoint from its creation to its end."""

    def __init__(
        self,
        work: _Work,
        unprocessed_tokens: int,
        on_change: Callable[[], None],
    ) -> None:
        self._work = work
        self._unprocessed_tokens = unprocessed_tokens
        self._on_change = on_change
        work.runs += 1
        work.unprocessed_tokens += unprocessed_tokens
        on_change()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exception: object) -> None:
        self.end()

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

    def __init__(
        self,
        on_change: Callable[[], None] = lambda: None,
        on_peer_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._work_by_lifetime: dict[str, _Work] = {}
        self._peers_by_node: dict[str, PeerLoad] = {}
        self._on_change = on_change
        self._on_peer_change = on_peer_change
        self._slowness_by_lifetime: dict[str, DecayingRatio] = {}
        self.first_events = FirstEventTimes()
        self._slowest_slowness = 1.0
        self._slowest_valid_until = 0.0
        self.started_requests = 0

    def snapshot(self) -> dict[bytes, EndpointLoad]:
        """Return the work in flight of this process."""
        return {
            endpoint_key(lifetime): work.load
            for lifetime, work in self._work_by_lifetime.items()
            if work.runs
        }

    def forget(self, lifetime: str) -> None:
        """Drop the work of an endpoint that has ended."""
        self._work_by_lifetime.pop(lifetime, None)
        self._slowness_by_lifetime.pop(lifetime, None)
        self.first_events.forget(lifetime)

    def learn_first_token(
        self, lifetime: str, expected_s: float, measured_s: float
    ) -> None:
        """Compare the time to a first token with the one expected at the dispatch."""
        slowness = self._slowness_by_lifetime.get(lifetime)
        if slowness is None:
            slowness = DecayingRatio(1.0, INITIAL_SLOWNESS_WEIGHT_S)
            self._slowness_by_lifetime[lifetime] = slowness
        slowness.add(max(0.0, measured_s - FIRST_TOKEN_S), expected_s)

    def slowness(self, lifetime: str) -> float:
        """Return how many times as long as assumed an endpoint takes for prompts."""
        slowness = self._slowness_by_lifetime.get(lifetime)
        if slowness is None:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness.value))

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
        self._on_peer_change()

    def track(self, lifetime: str, unprocessed_tokens: int) -> TrackedRequest:
        """Count a request, with or without a prompt, from now until it ends."""
        work = self._work_by_lifetime.setdefault(lifetime, _Work())
        self.started_requests += 1
        return TrackedRequest(work, unprocessed_tokens, self._on_change)

    def runs(self, lifetime: str, now: float) -> int:
        """Count the requests in progress on an endpoint from all known nodes."""
        return sum(each.runs for each in self._loads(lifetime, now))

    def unprocessed_tokens(self, lifetime: str, now: float) -> int:
        """Count the prompt tokens that an endpoint has yet to read."""
        return sum(each.unprocessed_tokens for each in self._loads(lifetime, now))

    def wait_s(self, lifetime: str, now: float) -> float:
        """Estimate how long a new prompt waits for those ahead of it, in seconds."""
        loads = tuple(self._loads(lifetime, now))
        unprocessed_tokens = sum(each.unprocessed_tokens for each in loads)
        runs = sum(each.runs for each in loads)
        return self.slowness(lifetime) * (
            unprocessed_tokens / DEFAULT_PREFILL_TOKENS_PER_S
            + runs * STEP_TIME_S_PER_RUN
        )

    def begin_wait_s(self, lifetime: str, missing_tokens: int, now: float) -> float:
        """Return how long a prompt may wait until its answer begins, in seconds.

        An endpoint of which little is known counts as being as slow as the slowest one.
        """
        slowness = self.slowness(lifetime)
        read_s = self.wait_s(lifetime, now) / slowness
        read_s += missing_tokens / DEFAULT_PREFILL_TOKENS_PER_S
        if not self.first_events.is_known(lifetime, now):
            slowness = max(slowness, self._slowest(now))
        return max(slowness * read_s, self.first_events.slowest_s(lifetime, now))

    def _slowest(self, now: float) -> float:
        """Return the slowness of the slowest endpoint, as of a moment ago."""
        if now >= self._slowest_valid_until:
            self._slowest_valid_until = now + SLOWEST_MAX_AGE_S
            slowness = map(self.slowness, self._slowness_by_lifetime)
            self._slowest_slowness = max(slowness, default=1.0)
        return self._slowest_slowness

    def _loads(self, lifetime: str, now: float) -> Iterator[EndpointLoad]:
        own = self._work_by_lifetime.get(lifetime)
        if own is not None:
            yield own.load
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
