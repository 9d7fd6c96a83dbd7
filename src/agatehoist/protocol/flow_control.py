"""Flow control of an answer: how far a sidecar may send ahead of the caller."""

from __future__ import annotations

WINDOW_TOKENS = 256


def next_window(consumed: int, until: int) -> int:
    """Return the index up to which tokens may be sent.

    It advances once less than half a window is left.
    """
    if until - consumed > WINDOW_TOKENS // 2:
        return until
    return consumed + WINDOW_TOKENS
