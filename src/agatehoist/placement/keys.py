"""Keys by which a prompt is ranked over the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.placement.types import Question

KEY_SHARES = (0.5, 0.25)
NO_KEY = b"none"


def placement_keys(question: Question) -> tuple[bytes, ...]:
    """Return the digests to rank by, the most telling one first.

    A key is the outermost level that covers the given share of the prompt, so a
    preamble that all prompts share is no key for the long ones among them. Of a
    prompt that grows past a boundary, the first key becomes the second.
    """
    if not question.levels:
        return (NO_KEY,)
    keys = (_key(question, share) for share in KEY_SHARES)
    return tuple(dict.fromkeys(keys))


def _key(question: Question, share: float) -> bytes:
    wanted = question.levels[-1].tokens * share
    levels = (level for level in question.levels if level.tokens >= wanted)
    return next(levels).digest
