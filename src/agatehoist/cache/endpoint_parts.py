"""Shared prompt parts that are believed to be in the memory of each endpoint.

Processes tell each other of the long parts that they had endpoints read, so that each
of them knows nearly all holders of a part.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from agatehoist.protocol.node_reports import PartRead, endpoint_key, part_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.routing.types import PromptPart

# Share of an endpoint's memory that holds parts; the rest is for the runs. Runs that
# need more evict parts.
PARTS_MEMORY_SHARE = 0.7
# Memory of an endpoint whose configuration states none.
DEFAULT_MEMORY_TOKENS = 100_000
# Peers aren't told of shorter parts, which are quickly read again.
MIN_REPORTED_TOKENS = 1_000
MAX_UNREPORTED_PARTS = 256
# Peers are told again of a part that is in use, as they would take it for evicted.
REPORT_INTERVAL_S = 2.0


class _Memory:
    """Hold the parts of one endpoint, the least recently used first."""

    def __init__(self) -> None:
        self.tokens_by_part: OrderedDict[bytes, int] = OrderedDict()
        self.reported_at_by_part: dict[bytes, float] = {}
        self.limit_tokens = PARTS_MEMORY_SHARE * DEFAULT_MEMORY_TOKENS
        self._tokens = 0

    @property
    def tokens(self) -> int:
        return self._tokens

    def put(self, part: bytes, tokens: int) -> None:
        self._tokens += tokens - self.tokens_by_part.pop(part, 0)
        self.tokens_by_part[part] = tokens
        self.evict(self.limit_tokens)

    def evict(self, limit_tokens: float) -> None:
        while self._tokens > limit_tokens and self.tokens_by_part:
            part, dropped = self.tokens_by_part.popitem(last=False)
            self._tokens -= dropped
            self.reported_at_by_part.pop(part, None)

    def is_report_due(self, part: bytes, now: float) -> bool:
        if part not in self.tokens_by_part:
            return True
        return now >= self.reported_at_by_part.get(part, 0.0) + REPORT_INTERVAL_S


class EndpointParts:
    """Remember by endpoint lifetime which parts were read there most recently.

    Endpoints keep parts apart by salt, which names the weights version.
    """

    def __init__(self) -> None:
        self._memories_by_endpoint: dict[bytes, _Memory] = {}
        self._unreported: deque[PartRead] = deque(maxlen=MAX_UNREPORTED_PARTS)

    def matched_tokens(
        self, lifetime: str, salt: str, parts: Iterable[PromptPart]
    ) -> int:
        """Return the tokens of the leading parts that an endpoint needn't read."""
        memory = self._memories_by_endpoint.get(endpoint_key(lifetime))
        if memory is None:
            return 0
        tokens = 0
        for part in parts:
            if part_key(salt, part.part_id) not in memory.tokens_by_part:
                break
            tokens += part.tokens
        return tokens

    def held_tokens(self, lifetime: str) -> int:
        """Return the tokens of all parts that an endpoint is believed to have."""
        memory = self._memories_by_endpoint.get(endpoint_key(lifetime))
        return memory.tokens if memory is not None else 0

    def note_read(
        self,
        lifetime: str,
        salt: str,
        parts: Iterable[PromptPart],
        memory_tokens: int = 0,
        saved: bool = False,
        now: float = 0.0,
    ) -> None:
        """Record the shared parts of a prompt that an endpoint has just read.

        Peers are told again of parts in use only if the time is stated.
        """
        key = endpoint_key(lifetime)
        memory = self._memories_by_endpoint.setdefault(key, _Memory())
        if memory_tokens:
            memory.limit_tokens = PARTS_MEMORY_SHARE * memory_tokens
        for part in parts:
            part_digest = part_key(salt, part.part_id)
            is_due = memory.is_report_due(part_digest, now)
            memory.put(part_digest, part.tokens)
            if part.tokens >= MIN_REPORTED_TOKENS and (is_due or saved):
                memory.reported_at_by_part[part_digest] = now
                self._unreported.append(PartRead(key, part_digest, part.tokens, saved))

    def note_held(self, lifetime: str, memory_tokens: int, held_tokens: int) -> None:
        """Drop the parts that have no place beside the tokens that runs hold.

        An endpoint evicts parts in favour of runs, and they don't come back with the
        end of the runs.
        """
        memory = self._memories_by_endpoint.get(endpoint_key(lifetime))
        if memory is not None:
            memory.evict(memory_tokens - held_tokens)

    def note_peer_read(self, read: PartRead) -> None:
        """Record a part that a peer had an endpoint read."""
        memory = self._memories_by_endpoint.setdefault(read.endpoint, _Memory())
        memory.put(read.part, read.tokens)

    def pop_unreported(self, count: int) -> tuple[PartRead, ...]:
        """Return the oldest parts that peers haven't been told of yet."""
        count = min(count, len(self._unreported))
        return tuple(self._unreported.popleft() for _ in range(count))

    def forget(self, lifetime: str) -> None:
        """Drop what is known of an endpoint that has ended."""
        self._memories_by_endpoint.pop(endpoint_key(lifetime), None)
