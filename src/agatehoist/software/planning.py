"""Decisions on the shares of new streams that software versions get."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from agatehoist.software.assignment import ADOPTION_S, MAX_STREAM_AGE_S
from agatehoist.software.types import (
    MAX_PERIODS,
    MAX_SOFTWARE_CHARACTERS,
    MAX_VERSIONS,
    SharePeriod,
    ShareRecord,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_PERIOD_S = 1.0
# Smaller changes aren't worth a write that all gateways read.
MIN_SHARE_CHANGE = 0.05
# With more periods that matter, new ones come less often: streams that began in many
# periods may have begun at any version.
PERIODS_AT_FULL_RATE = 8
# A version that has vanished more than once lately waits so long for each time but the
# first, so that an endpoint that comes and goes doesn't change the shares each time.
RETURN_DELAY_S = 5.0
SHARE_DIGITS = 4
TIME_DIGITS = 3
# The gateways that may write an urgent change at fixed delays, one after the other.
ORDERED_WRITERS = 5
WRITE_DELAY_STEP_S = 0.4
# All others write at random times after these, so that few of them meet a conflict.
WRITE_SPREAD_S_PER_NODE = 0.01
MAX_WRITE_SPREAD_S = 2.0
# Gateways suspect different endpoints. The first one's view holds where nothing has
# vanished, so the others leave it this much longer.
NOT_URGENT_DELAY_S = 2.0
# The endpoints of a release start within moments of each other. A period that begins
# with the first of them would leave the others without streams until the next one.
SETTLE_S = 0.25


def next_record(
    known: ShareRecord | None,
    service: str,
    slots_by_software: Mapping[str, int],
    now: float,
) -> ShareRecord | None:
    """Return the record that follows from the slots of the usable endpoints.

    Returns None if the known record is good enough or can't be changed yet.
    """
    if known is not None:
        slots_by_software = _without_flapping(known, slots_by_software, now)
    shares = shares_by_slots(slots_by_software)
    if not shares:
        return None
    began_at = round(now, TIME_DIGITS)
    if known is None:
        return ShareRecord(service, 1, (SharePeriod(began_at, shares),))
    kept = _periods_that_matter(known, now)
    if len(kept) >= MAX_PERIODS:
        return None
    if not lacks_endpoints(known, slots_by_software) and not _is_due(kept, shares, now):
        return None
    began_at = max(began_at, kept[-1].began_at)
    periods = (*kept, SharePeriod(began_at, shares))
    return ShareRecord(service, known.number + 1, periods)


def lacks_endpoints(
    record: ShareRecord | None, slots_by_software: Mapping[str, int]
) -> bool:
    """Return whether a version with a share has no usable endpoint, but others do."""
    if record is None or not any(slots_by_software.values()):
        return False
    return any(
        not slots_by_software.get(software)
        for software in _versions(record.periods[-1])
    )


def reconciled(
    known: ShareRecord, stored: ShareRecord | None, now: float
) -> ShareRecord:
    """Return the known record with the periods that only the stored one has.

    A restored store has lost records that were used, and others may have been written
    and used since. All of their periods then count as used until now.
    """
    if stored is None:
        return known
    only_stored = [
        each for each in _periods_that_matter(stored, now) if each not in known.periods
    ]
    number = max(known.number, stored.number)
    if not only_stored:
        return replace(known, number=number)
    periods = (*only_stored, *_periods_that_matter(known, now))[-MAX_PERIODS:]
    # A period is taken as used until the one after it begins.
    began_at = max(round(now, TIME_DIGITS), *(each.began_at for each in periods))
    return ShareRecord(
        known.service,
        number,
        tuple(replace(each, began_at=began_at) for each in periods),
    )


def shares_by_slots(slots_by_software: Mapping[str, int]) -> dict[str, float]:
    """Return the share of each version, by the slots of its endpoints."""
    slots = {
        software: count
        for software, count in slots_by_software.items()
        if count > 0
        and len(software) <= MAX_SOFTWARE_CHARACTERS
        and software.isprintable()
    }
    largest = sorted(slots, key=lambda each: (-slots[each], each))[:MAX_VERSIONS]
    total = sum(slots[each] for each in largest)
    least = 10**-SHARE_DIGITS
    return {
        each: max(least, round(slots[each] / total, SHARE_DIGITS))
        for each in sorted(largest)
    }


def write_delay_s(
    place: int, node_count: int, is_urgent: bool, fraction: float
) -> float:
    """Return how long a need must stand before the node at a place writes for it.

    `fraction` is a random number from 0 to 1.
    """
    if place <= 0:
        return 0.0 if is_urgent else SETTLE_S
    delay_s = WRITE_DELAY_STEP_S * min(place, ORDERED_WRITERS)
    if place >= ORDERED_WRITERS:
        spread_s = WRITE_SPREAD_S_PER_NODE * node_count
        delay_s += fraction * min(spread_s, MAX_WRITE_SPREAD_S)
    return delay_s if is_urgent else delay_s + NOT_URGENT_DELAY_S


def _is_due(
    kept: tuple[SharePeriod, ...], shares: Mapping[str, float], now: float
) -> bool:
    before = kept[-1].shares_by_software
    if _versions(kept[-1]) == shares.keys() and all(
        abs(share - before[software]) <= MIN_SHARE_CHANGE
        for software, share in shares.items()
    ):
        return False
    interval_s = MIN_PERIOD_S * max(1.0, len(kept) / PERIODS_AT_FULL_RATE)
    # After a clock has stepped back, its time says nothing about the interval.
    return not 0 <= now - kept[-1].began_at < interval_s


def _periods_that_matter(record: ShareRecord, now: float) -> tuple[SharePeriod, ...]:
    """Return the periods in which a stream may have begun that can be resumed."""
    ended_before = now - MAX_STREAM_AGE_S - ADOPTION_S
    first = 0
    for index, successor in enumerate(record.periods[1:], 1):
        if successor.began_at <= ended_before:
            first = index
    return record.periods[first:]


def _without_flapping(
    record: ShareRecord, slots_by_software: Mapping[str, int], now: float
) -> Mapping[str, int]:
    """Leave out versions that have come back too early, unless only they are left."""
    serving = _versions(record.periods[-1])
    vanished: Counter[str] = Counter()
    vanished_at_by_software: dict[str, float] = {}
    kept = _periods_that_matter(record, now)
    for before, after in zip(kept, kept[1:], strict=False):
        for software in _versions(before) - _versions(after):
            vanished[software] += 1
            vanished_at_by_software[software] = after.began_at
    early = {
        software
        for software, at in vanished_at_by_software.items()
        if software not in serving
        and now < at + RETURN_DELAY_S * (vanished[software] - 1)
    }
    rest = {
        software: slots
        for software, slots in slots_by_software.items()
        if software not in early
    }
    return rest if any(rest.values()) else slots_by_software


def _versions(period: SharePeriod) -> set[str]:
    return {each for each, share in period.shares_by_software.items() if share > 0}
