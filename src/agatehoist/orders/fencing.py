"""Fencing numbers: one a sidecar start, raised by conditional update."""

from __future__ import annotations

from agatehoist.orders.errors import OrderExpiredError, SupersededError
from agatehoist.orders.types import FencingRecord

ORDER_VALIDITY_S = 1.0


def raised(current: FencingRecord | None, owner: str) -> FencingRecord:
    """Return the record that an owner writes over the current one.

    A current record of the same owner is a write whose answer was lost.
    """
    if current is None:
        return FencingRecord(1, owner)
    if current.owner == owner:
        return current
    return FencingRecord(current.number + 1, owner)


def confirm(mine: FencingRecord, found: FencingRecord | None) -> None:
    """Check that the record in the platform is still the sidecar's own.

    Raises SupersededError.
    """
    if found != mine:
        raise SupersededError(f"fencing number {mine.number} is no longer in force")


def check_valid(valid_until: float, now: float) -> None:
    """Check that an order may still be sent.

    Raises OrderExpiredError.
    """
    if now >= valid_until:
        raise OrderExpiredError("the order ran out before it was sent")
