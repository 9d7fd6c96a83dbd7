"""Fencing numbers: increased at each sidecar start by a conditional update."""

from __future__ import annotations

from agatehoist.orders.errors import OrderExpiredError, SupersededError
from agatehoist.orders.types import FencingRecord

# Counted from before the fencing record is read, so that a sidecar that is suspended
# after the read doesn't send its order later.
ORDER_VALIDITY_S = 1.0


def next_fencing_record(current: FencingRecord | None, owner: str) -> FencingRecord:
    """Return the record with which an owner replaces the current one.

    An owner is one incarnation of a sidecar. A current record of the same owner is its
    own earlier write whose answer was lost, and is returned unchanged.
    """
    if current is None:
        return FencingRecord(1, owner)
    if current.owner == owner:
        return current
    return FencingRecord(current.number + 1, owner)


def check_in_force(own: FencingRecord, found: FencingRecord | None) -> None:
    """Check that the record found in the platform is still the sidecar's own.

    Raises SupersededError.
    """
    if found != own:
        raise SupersededError(f"fencing number {own.number} is no longer in force")


def check_not_expired(valid_until: float, now: float) -> None:
    """Check that an order may still be sent.

    Raises OrderExpiredError.
    """
    if now >= valid_until:
        raise OrderExpiredError("order expired before it was sent")
