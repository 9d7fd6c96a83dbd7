"""Assignment of streams to software versions by the ids of their requests."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.software.types import SharePeriod, ShareRecord

# A float holds all digests of this size exactly, with half of one more.
DIGEST_BYTES = 6
# A stream may be resumed so long after it began.
MAX_STREAM_AGE_S = 30.0
# All gateways use a new period within this time, with clocks that differ by less.
ADOPTION_S = 5.0


def assigned_software(period: SharePeriod, request_id: str) -> str | None:
    """Return the version at which a stream begins, None if no version has a share.

    A change of the shares moves only streams from versions whose shares shrink to those
    whose shares grow, by weighted rendezvous hashing.
    """
    scores_by_software = {
        software: -share / math.log(_uniform(request_id, software))
        for software, share in period.shares_by_software.items()
        if share > 0
    }
    return max(scores_by_software, key=scores_by_software.__getitem__, default=None)


def possible_software(
    record: ShareRecord, request_id: str, now: float
) -> frozenset[str]:
    """Return the versions at which a stream may have begun that is resumed now."""
    earliest_start = now - MAX_STREAM_AGE_S
    ends = [each.began_at + ADOPTION_S for each in record.periods[1:]] + [math.inf]
    found = {
        assigned_software(period, request_id)
        for period, ends_at in zip(record.periods, ends, strict=True)
        if ends_at > earliest_start
    }
    return frozenset(each for each in found if each is not None)


def _uniform(request_id: str, software: str) -> float:
    """Return a number between 0 and 1 that depends on both texts."""
    digest = hashlib.blake2b(
        f"{request_id}\n{software}".encode(), digest_size=DIGEST_BYTES
    ).digest()
    # Neither 0 nor 1, as its logarithm is a divisor.
    return (int.from_bytes(digest, "big") + 0.5) / 2 ** (8 * DIGEST_BYTES)
