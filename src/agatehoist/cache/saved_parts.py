"""Prompt parts that this process had saved to a KV cache store (KV store)."""

from __future__ import annotations

from collections import OrderedDict

# Recomputing a shorter shared part costs less than its space in the KV store.
MIN_SAVED_TOKENS = 1_000
# The KV store may have evicted a part that has not been used for this long.
SAVED_RETENTION_S = 8.0
MAX_TRACKED_PARTS = 20_000


class SavedParts:
    """Decide which requests save their prompt to the KV store.

    An engine saves the whole prompt, including the part that only this caller uses, so
    saving a shared part that the KV store already holds evicts entries that others
    need. Times are in epoch seconds.
    """

    def __init__(self) -> None:
        self._retained_until_by_key: OrderedDict[tuple[str, str], float] = OrderedDict()

    def should_save(self, salt: str, part_id: str, tokens: int, now: float) -> bool:
        """Return whether a request saves its shared parts, and record their use."""
        if tokens < MIN_SAVED_TOKENS:
            return False
        key = (salt, part_id)
        retained_until = self._retained_until_by_key.pop(key, 0.0)
        # The KV store retains a part longer each time it is used.
        self._retained_until_by_key[key] = now + SAVED_RETENTION_S
        if len(self._retained_until_by_key) > MAX_TRACKED_PARTS:
            self._retained_until_by_key.popitem(last=False)
        return retained_until <= now
