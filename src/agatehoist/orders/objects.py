"""Fencing records and the lease ledger as objects of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from agatehoist.orders.fencing import next_fencing_record
from agatehoist.orders.types import FencingRecord, Granted, Ledger
from agatehoist.settings.convert import make_converter
from agatehoist.storage.budget import Purpose
from agatehoist.storage.content import read_content
from agatehoist.storage.errors import ConflictError, ObjectNotFoundError

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.orders.leases import Decision
    from agatehoist.storage.client import PlatformClient

FENCING_KIND = "fencing"
# Kind and name of the stored object that holds the ledger.
LEDGER_KIND = "orders"
LEDGER_NAME = "weight-loads"

Value = TypeVar("Value")

_converter = make_converter()


async def increase_fencing_number(
    platform: PlatformClient, host: str, owner: str
) -> FencingRecord:
    """Increase the fencing number of a host for an owner.

    The number is increased once per owner: a call after a lost answer finds the record
    that the owner wrote before.
    Raises PlatformError.
    """
    while True:
        current, version = await _read(platform, FENCING_KIND, host, FencingRecord)
        mine = next_fencing_record(current, owner)
        if mine == current:
            return mine
        try:
            await _write(platform, FENCING_KIND, host, mine, version)
        except ConflictError:
            continue
        return mine


async def read_fencing_record(
    platform: PlatformClient, host: str
) -> FencingRecord | None:
    """Return the stored fencing record of a host, or None if it has none.

    Raises PlatformError.
    """
    record, _ = await _read(platform, FENCING_KIND, host, FencingRecord)
    return record


async def read_ledger(platform: PlatformClient) -> Ledger:
    """Return the ledger of leases and roll-outs.

    Raises PlatformError.
    """
    ledger, _ = await _read(platform, LEDGER_KIND, LEDGER_NAME, Ledger)
    return ledger or Ledger()


async def acquire_lease(
    platform: PlatformClient, decide: Callable[[Ledger], Decision]
) -> Decision:
    """Decide on a lease, write the ledger if it is granted, and return the decision.

    A call after a lost answer replaces the lease that the host holds by a new one.
    Raises PlatformError.
    """
    while True:
        ledger, version = await _read(platform, LEDGER_KIND, LEDGER_NAME, Ledger)
        decision = decide(ledger or Ledger())
        if not isinstance(decision, Granted):
            return decision
        try:
            await _write(platform, LEDGER_KIND, LEDGER_NAME, decision.ledger, version)
        except ConflictError:
            continue
        return decision


async def update_ledger(
    platform: PlatformClient, change: Callable[[Ledger], Ledger]
) -> None:
    """Apply an idempotent change to the ledger, retrying on write conflicts.

    Raises PlatformError.
    """
    while True:
        ledger, version = await _read(platform, LEDGER_KIND, LEDGER_NAME, Ledger)
        before = ledger or Ledger()
        after = change(before)
        if after == before:
            return
        try:
            await _write(platform, LEDGER_KIND, LEDGER_NAME, after, version)
        except ConflictError:
            continue
        return


async def _read(
    platform: PlatformClient, kind: str, name: str, target: type[Value]
) -> tuple[Value | None, int]:
    try:
        found = await platform.get(kind, name, Purpose.ORDERS)
    except ObjectNotFoundError:
        return None, 0
    return read_content(found, target, _converter), found.version


async def _write(
    platform: PlatformClient, kind: str, name: str, value: object, version: int
) -> None:
    data = _converter.unstructure(value)
    await platform.put(kind, name, data, version, Purpose.ORDERS)
