"""What this process has sent to a store of kept KV cache."""

from __future__ import annotations

from collections import OrderedDict

# Shorter shared parts are read again sooner than they are worth their room.
MIN_SAVED_TOKENS = 1_000
# A part that nobody fetched for so long may have been dropped by the store.
SAVED_S = 8.0
MAX_NOTED_PARTS = 20_000


class KeptParts:
    """Decide which requests save their prompt, in epoch seconds.

    An engine saves the whole prompt, the caller's own part included, so a request that
    saves what the store holds already drives out what others need.
    """

    def __init__(self) -> None:
        self._saved_until_by_key: OrderedDict[tuple[str, str], float] = OrderedDict()

    def should_save(self, salt: str, part_id: str, tokens: int, now: float) -> bool:
        """Say whether a request saves its shared parts, and note that it does."""
        if tokens < MIN_SAVED_TOKENS:
            return False
        key = (salt, part_id)
        saved_until = self._saved_until_by_key.pop(key, 0.0)
        # Each use lets the store keep the part longer.
        self._saved_until_by_key[key] = now + SAVED_S
        if len(self._saved_until_by_key) > MAX_NOTED_PARTS:
            self._saved_until_by_key.popitem(last=False)
        return saved_until <= now
