"""Prompt parts that this process or a peer had saved to a KV cache store (KV store)."""

from __future__ import annotations

from collections import OrderedDict

# Recomputing a shorter shared part costs less than its space in the KV store.
MIN_SAVED_TOKENS = 1_000
# The KV store may have evicted a part that has not been used for this long, or lost all
# parts in a restart.
SAVED_RETENTION_S = 20.0
# A save that isn't confirmed within this time has failed.
SAVE_TIMEOUT_S = 2.0
MAX_TRACKED_PARTS = 20_000


class SavedParts:
    """Decide which requests save their prompt to the KV store.

    An engine saves the whole prompt, including the part that only this caller uses, so
    saving a shared part that the KV store already holds evicts entries that others need
    and takes up its link. Times are in epoch seconds.
    """

    def __init__(self) -> None:
        self._retained_until_by_part: OrderedDict[bytes, float] = OrderedDict()

    def should_save(self, part: bytes, tokens: int, now: float) -> bool:
        """Return whether a request saves its shared parts, which it then tries."""
        if tokens < MIN_SAVED_TOKENS or self.is_saved(part, now):
            return False
        self._retain(part, now + SAVE_TIMEOUT_S)
        return True

    def is_saved(self, part: bytes, now: float) -> bool:
        """Return whether the KV store has a part, or is getting it."""
        return self._retained_until_by_part.get(part, 0.0) > now

    def note_saved(self, part: bytes, now: float) -> None:
        """Record that a part was saved."""
        self._retain(part, now + SAVED_RETENTION_S)

    def _retain(self, part: bytes, until: float) -> None:
        self._retained_until_by_part.pop(part, None)
        self._retained_until_by_part[part] = until
        if len(self._retained_until_by_part) > MAX_TRACKED_PARTS:
            self._retained_until_by_part.popitem(last=False)
