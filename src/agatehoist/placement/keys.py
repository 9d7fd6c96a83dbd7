"""Keys by which the endpoints are ranked for a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.placement.types import PlacementRequest

KEY_PROMPT_SHARES = (0.5, 0.25)
NO_PREFIX_KEY = b"none"


def placement_keys(request: PlacementRequest) -> tuple[bytes, ...]:
    """Return the level digests to rank endpoints by, most specific first.

    A key is the shortest level that covers a given share of the prompt, so long
    prompts that have only a short preamble in common get different keys. When a
    prompt grows until a longer level becomes its first key, the earlier first key
    becomes the second.
    """
    if not request.levels:
        return (NO_PREFIX_KEY,)
    keys = (_level_digest(request, share) for share in KEY_PROMPT_SHARES)
    return tuple(dict.fromkeys(keys))


def _level_digest(request: PlacementRequest, share: float) -> bytes:
    min_tokens = request.levels[-1].tokens * share
    levels = (level for level in request.levels if level.tokens >= min_tokens)
    return next(levels).digest
