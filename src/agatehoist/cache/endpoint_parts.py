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

# Share of an endpoint's memory that holds parts; the rest is for the runs.
PARTS_MEMORY_SHARE = 0.7
# Memory of an endpoint whose configuration states none.
DEFAULT_MEMORY_TOKENS = 100_000
# Peers aren't told of shorter parts, which are quickly read again.
MIN_REPORTED_TOKENS = 1_000
MAX_UNREPORTED_PARTS = 256


class _Memory:
    """Hold the parts of one endpoint, the least recently used first."""

    def __init__(self) -> None:
        self.tokens_by_part: OrderedDict[bytes, int] = OrderedDict()
        self.limit_tokens = PARTS_MEMORY_SHARE * DEFAULT_MEMORY_TOKENS
        self._tokens = 0

    @property
    def tokens(self) -> int:
        return self._tokens

    def put(self, part: bytes, tokens: int) -> None:
        self._tokens += tokens - self.tokens_by_part.pop(part, 0)
        self.tokens_by_part[part] = tokens
        while self._tokens > self.limit_tokens and self.tokens_by_part:
            _, dropped = self.tokens_by_part.popitem(last=False)
            self._tokens -= dropped


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
    ) -> None:
        """Record the shared parts of a prompt that an endpoint has just read."""
        key = endpoint_key(lifetime)
        memory = self._memories_by_endpoint.setdefault(key, _Memory())
        if memory_tokens:
            memory.limit_tokens = PARTS_MEMORY_SHARE * memory_tokens
        for part in parts:
            part_digest = part_key(salt, part.part_id)
            is_new = part_digest not in memory.tokens_by_part
            memory.put(part_digest, part.tokens)
            if part.tokens >= MIN_REPORTED_TOKENS and (is_new or saved):
                self._unreported.append(PartRead(key, part_digest, part.tokens, saved))

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
