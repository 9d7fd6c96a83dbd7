"""Prefix levels that an engine is believed to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agatehoist.core.work import PrefixLevel

MAX_KNOWN_LEVELS = 65536


class CachePicture:
    """Remember which levels one engine incarnation has computed."""

    def __init__(self) -> None:
        self._tokens_by_digest: dict[bytes, int] = {}

    def matched_tokens(self, levels: Sequence[PrefixLevel]) -> int:
        """Return the tokens of the longest known level."""
        for level in reversed(levels):
            if level.digest in self._tokens_by_digest:
                return level.tokens
        return 0

    def record(self, levels: Sequence[PrefixLevel]) -> None:
        """Note that the engine has computed the levels."""
        for level in levels:
            self._tokens_by_digest.pop(level.digest, None)
            self._tokens_by_digest[level.digest] = level.tokens
        while len(self._tokens_by_digest) > MAX_KNOWN_LEVELS:
            del self._tokens_by_digest[next(iter(self._tokens_by_digest))]

    def clear(self) -> None:
        """Forget everything, as after a restart of the engine."""
        self._tokens_by_digest.clear()
