"""Work in flight on the endpoints, dispatched by this process and by its peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Self

from agatehoist.admission.rates import DecayingRatio
from agatehoist.admission.room import tokens_ahead
from agatehoist.fleet.capacity import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    DEFAULT_STEP_S,
    Capacity,
)
from agatehoist.fleet.first_events import FirstEventTimes
from agatehoist.protocol.endpoint_rates import RunSizes
from agatehoist.protocol.node_reports import (
    EndpointLoad,
    NodeReport,
    endpoint_key,
    short_prompts_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "DEFAULT_PREFILL_TOKENS_PER_S",
    "DEFAULT_STEP_S",
    "EndpointWork",
    "FIRST_TOKEN_S",
    "Load",
    "NO_LOAD",
    "PEER_REPORT_MAX_AGE_S",
    "TrackedRequest",
    "changed_loads",
]

# Time that each run in progress adds to a step of its engine, the computation of one
# token for all its runs, and thereby to the wait of a new prompt.
STEP_TIME_S_PER_RUN = 0.0005
# A peer with work in flight reports at least once a second; a silent one is gone.
PEER_REPORT_MAX_AGE_S = 1.5
# A peer that is silent for longer is forgotten, with the sequence number of its last
# report.
PEER_RETENTION_S = 60.0
NO_LOAD = EndpointLoad(0, 0)
# Time from the start of a run to its first token, besides the prompts read before it.
FIRST_TOKEN_S = 0.08
# Adding up the loads of all peers for each endpoint would be slow in a large fleet.
PEER_WORK_MAX_AGE_S = 0.02


@dataclass(frozen=True, slots=True)
class EndpointWork:
    """Hold the work that all known processes have at an endpoint.

    `own_tokens` are those that the runs hold in memory without the parts that they
    share. `shared_tokens` are the shared parts, counted once for each run.
    `short_prompt_tokens` are the unprocessed tokens of short prompts, which are also
    part of `unprocessed_tokens`.
    """

    runs: int = 0
    unprocessed_tokens: int = 0
    own_tokens: int = 0
    shared_tokens: int = 0
    short_prompt_tokens: int = 0


NO_WORK = EndpointWork()
NO_SIZES = RunSizes()


@dataclass(frozen=True, slots=True)
class _PeerWork:
    work: EndpointWork
    at: float


class _Work:
    # Prompt tokens are unread until their prefill is done.
    def __init__(self) -> None:
        self.runs = 0
        self.unprocessed_tokens = 0
        self.own_tokens = 0
        self.shared_tokens = 0
        self.short_prompt_tokens = 0
        self.changes = 0

    @property
    def load(self) -> EndpointLoad:
        return EndpointLoad(self.runs, self.unprocessed_tokens)


class _MeanSizes:
    """Keep the mean size of the recent runs of this process."""

    def __init__(self) -> None:
        self._own_tokens = DecayingRatio(0.0, 0.1)
        self._shared_tokens = DecayingRatio(0.0, 0.1)

    def add(self, sizes: RunSizes) -> None:
        self._own_tokens.add(sizes.own_tokens, 1)
        self._shared_tokens.add(sizes.shared_tokens, 1)

    @property
    def value(self) -> RunSizes:
        return RunSizes(round(self._own_tokens.value), round(self._shared_tokens.value))


class TrackedRequest:
    """Count one request in the load of an endpoint from its creation to its end."""

    def __init__(
        self,
        work: _Work,
        unprocessed_tokens: int,
        sizes: RunSizes,
        on_change: Callable[[], None],
        is_short: bool = False,
    ) -> None:
        self._work = work
        self._is_short = is_short
        self._sizes = sizes
        self._unprocessed_tokens = unprocessed_tokens
        self._on_change = on_change
        work.runs += 1
        work.unprocessed_tokens += unprocessed_tokens
        work.short_prompt_tokens += unprocessed_tokens if is_short else 0
        work.own_tokens += sizes.own_tokens
        work.shared_tokens += sizes.shared_tokens
        work.changes += 1
        on_change()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exception: object) -> None:
        self.end()

    def note_prefill_done(self) -> None:
        """Stop counting the prompt tokens as unread."""
        if self._unprocessed_tokens:
            self._work.unprocessed_tokens -= self._unprocessed_tokens
            if self._is_short:
                self._work.short_prompt_tokens -= self._unprocessed_tokens
            self._unprocessed_tokens = 0
            self._work.changes += 1
            self._on_change()

    def end(self) -> None:
        """Stop counting the request."""
        self.note_prefill_done()
        self._work.runs -= 1
        self._work.own_tokens -= self._sizes.own_tokens
        self._work.shared_tokens -= self._sizes.shared_tokens
        self._work.changes += 1
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
        self.capacity = Capacity()
        self.first_events = FirstEventTimes()
        self._mean_sizes = _MeanSizes()
        self._sizes_by_node: dict[str, RunSizes] = {}
        self._peer_work_by_key: dict[bytes, _PeerWork] = {}
        self.started_requests = 0

    def snapshot(self) -> dict[bytes, EndpointLoad]:
        """Return the work in flight of this process."""
        loads_by_key = {}
        for lifetime, work in self._work_by_lifetime.items():
            if work.runs:
                loads_by_key[endpoint_key(lifetime)] = work.load
            if work.short_prompt_tokens:
                short_load = EndpointLoad(0, work.short_prompt_tokens)
                loads_by_key[short_prompts_key(lifetime)] = short_load
        return loads_by_key

    def forget(self, lifetime: str) -> None:
        """Drop the work of an endpoint that has ended."""
        self._work_by_lifetime.pop(lifetime, None)
        self.capacity.forget(lifetime)
        self.first_events.forget(lifetime)

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
                self._sizes_by_node.pop(node, None)
        self._peer_work_by_key.clear()
        self._on_peer_change()

    def accept_run_sizes(self, node: str, sizes: RunSizes) -> None:
        """Store the mean size of a peer's runs; that of this process holds before."""
        if node in self._peers_by_node:
            self._sizes_by_node[node] = sizes

    @property
    def run_sizes(self) -> RunSizes:
        """Return the mean size of the recent runs of this process."""
        return self._mean_sizes.value

    def track(
        self,
        lifetime: str,
        unprocessed_tokens: int,
        sizes: RunSizes = NO_SIZES,
        is_short: bool = False,
    ) -> TrackedRequest:
        """Count a request, with or without a prompt, from now until it ends."""
        work = self._work_by_lifetime.setdefault(lifetime, _Work())
        self.started_requests += 1
        if sizes != NO_SIZES:
            self._mean_sizes.add(sizes)
        return TrackedRequest(
            work, unprocessed_tokens, sizes, self._on_change, is_short
        )

    def work(self, lifetime: str, now: float) -> EndpointWork:
        """Return the work at an endpoint, with that of peers as of a moment ago."""
        peers = self._peer_work(lifetime, now)
        own = self._work_by_lifetime.get(lifetime)
        if own is None:
            return peers
        return EndpointWork(
            peers.runs + own.runs,
            peers.unprocessed_tokens + own.unprocessed_tokens,
            peers.own_tokens + own.own_tokens,
            peers.shared_tokens + own.shared_tokens,
            peers.short_prompt_tokens + own.short_prompt_tokens,
        )

    def own_changes(self, lifetime: str) -> int:
        """Count the changes of the work that this process has at an endpoint."""
        own = self._work_by_lifetime.get(lifetime)
        return own.changes if own is not None else 0

    def runs(self, lifetime: str, now: float) -> int:
        """Count the requests in progress on an endpoint from all known nodes."""
        return self.work(lifetime, now).runs

    def nodes_heard(self, now: float) -> int:
        """Count the other nodes whose reports are recent enough to be counted."""
        oldest = now - PEER_REPORT_MAX_AGE_S
        return sum(each.received_at >= oldest for each in self._peers_by_node.values())

    def wait_s(self, lifetime: str, now: float, is_short: bool = False) -> float:
        """Estimate how long a new prompt waits for those ahead of it, in seconds."""
        return self.capacity.slowness(lifetime, now) * self._assumed_wait_s(
            lifetime, now, is_short
        )

    def begin_wait_s(self, lifetime: str, missing_tokens: int, now: float) -> float:
        """Return how long a prompt may wait until its answer begins, in seconds.

        An endpoint of which little is known counts as being as slow as the slowest one.
        """
        slowness = self.capacity.slowness(lifetime, now)
        read_s = self.assumed_first_s(lifetime, missing_tokens, now)
        if not self.first_events.is_known(lifetime, now):
            slowness = max(slowness, self.capacity.slowest(now))
        return max(slowness * read_s, self.first_events.slowest_s(lifetime, now))

    def assumed_first_s(
        self,
        lifetime: str,
        missing_tokens: int,
        now: float,
        is_short: bool = False,
    ) -> float:
        """Return when a prompt would be read at the assumed rate, in seconds."""
        wait_s = self._assumed_wait_s(lifetime, now, is_short)
        return wait_s + missing_tokens / DEFAULT_PREFILL_TOKENS_PER_S

    def _assumed_wait_s(self, lifetime: str, now: float, is_short: bool) -> float:
        work = self.work(lifetime, now)
        tokens = tokens_ahead(
            work.unprocessed_tokens, work.short_prompt_tokens, is_short
        )
        wait_s = tokens / DEFAULT_PREFILL_TOKENS_PER_S
        return wait_s + work.runs * STEP_TIME_S_PER_RUN

    def _peer_work(self, lifetime: str, now: float) -> EndpointWork:
        key, short_key = endpoint_key(lifetime), short_prompts_key(lifetime)
        known = self._peer_work_by_key.get(key)
        if known is not None and known.at <= now < known.at + PEER_WORK_MAX_AGE_S:
            return known.work
        runs = unprocessed_tokens = own_tokens = shared_tokens = short_tokens = 0
        own_sizes = self.run_sizes
        for node, peer in self._peers_by_node.items():
            load = peer.loads_by_key.get(key)
            if load is None or now > peer.received_at + PEER_REPORT_MAX_AGE_S:
                continue
            sizes = self._sizes_by_node.get(node, own_sizes)
            runs += load.runs
            unprocessed_tokens += load.unprocessed_tokens
            own_tokens += load.runs * sizes.own_tokens
            shared_tokens += load.runs * sizes.shared_tokens
            short = peer.loads_by_key.get(short_key, NO_LOAD)
            short_tokens += min(short.unprocessed_tokens, load.unprocessed_tokens)
        work = EndpointWork(
            runs, unprocessed_tokens, own_tokens, shared_tokens, short_tokens
        )
        self._peer_work_by_key[key] = _PeerWork(work, now)
        return work


def changed_loads(
    before: dict[bytes, EndpointLoad], after: dict[bytes, EndpointLoad]
) -> dict[bytes, EndpointLoad]:
    """Return the changes between two snapshots, with a zero load where work ended."""
    changed = {key: load for key, load in after.items() if before.get(key) != load}
    return changed | dict.fromkeys(before.keys() - after.keys(), NO_LOAD)
