"""Request rates of shared prompt parts, and how many endpoints hold each of them."""

from __future__ import annotations

import math
from collections import OrderedDict

# Rates follow the demand, which varies within 11 s, and a process of 1.5 requests/s
# still sees several requests for a frequent part.
HALF_LIFE_S = 4.0
MAX_TRACKED_PARTS = 4_096
# Share of an endpoint's prefill time that the requests for one part may take. Above it,
# their own parts queue behind each other.
HOLDER_BUSY_SHARE = 0.3
# More holders would take the memory of most endpoints for one part.
MAX_HOLDERS = 4


class PartRates:
    """Estimate the requests per second for each part, from those that are noted."""

    def __init__(self) -> None:
        # Decayed count of requests, and the epoch time to which it applies.
        self._count_by_part: OrderedDict[bytes, tuple[float, float]] = OrderedDict()

    def note_request(self, part: bytes, now: float) -> None:
        """Count a request for a part."""
        count = self._decayed_count(part, now) + 1
        self._count_by_part[part] = (count, now)
        self._count_by_part.move_to_end(part)
        if len(self._count_by_part) > MAX_TRACKED_PARTS:
            self._count_by_part.popitem(last=False)

    def per_s(self, part: bytes, now: float) -> float:
        """Return the requests per second for a part."""
        return self._decayed_count(part, now) * math.log(2) / HALF_LIFE_S

    def _decayed_count(self, part: bytes, now: float) -> float:
        count, at = self._count_by_part.get(part, (0.0, now))
        return count * 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)


def holder_count(requests_per_s: float, read_s: float) -> int:
    """Return how many endpoints hold a part whose requests take `read_s` each."""
    busy_share = requests_per_s * read_s
    return min(MAX_HOLDERS, max(1, math.ceil(busy_share / HOLDER_BUSY_SHARE)))
