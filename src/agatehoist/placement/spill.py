"""Share of the requests of a service that leave their data centre.

It handles demand that is out of phase between data centres, and data centres that lose
endpoints or whose endpoints are slow. All gateways of a data centre decide on the same
reports, which are up to 0.8 s old, so the share of each of them changes gradually.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# A shorter wait isn't worth leaving: it is within the noise of the reports.
ENOUGH_ROOM_S = 0.05
# Waits elsewhere are estimates too, which err in proportion. Where all data centres are
# overloaded alike, a smaller margin only exchanges their requests.
OTHER_WAIT_FACTOR = 1.25
# The share rises at the full rate from this excess of wait on. At 0.4 a second it
# oscillates with reports that are 0.8 s old.
FULL_EXCESS_S = 0.2
MAX_RISE_PER_S = 0.2
# The own endpoints have room at once when the share is too high, and the share must not
# fall far below the one that they need.
MAX_FALL_PER_S = 0.1
# A single burst raises the share by less than this, and has ended when it takes effect.
MIN_SHARE = 0.05
# Longer waits say no more: endpoints that have ended the wait of one request.
MAX_WAIT_S = 2.0
# The time without requests counts only up to this limit.
MAX_ELAPSED_S = 0.5
# More frequent updates add only noise.
MIN_ELAPSED_S = 0.02


@dataclass(frozen=True, slots=True)
class SpillWaits:
    """Hold the least expected waits in the own and in the other data centres.

    A wait is infinite where there is no endpoint. `transfer_s` is what the delay and
    the traffic of a request to another data centre cost. Without recent reports of the
    other nodes the waits don't say how busy the endpoints are.
    """

    own_s: float
    other_s: float
    transfer_s: float
    has_reports: bool = True

    @property
    def excess_s(self) -> float:
        """Return by how much the own wait exceeds the one that is acceptable."""
        if not self.has_reports:
            return -FULL_EXCESS_S
        other_s = OTHER_WAIT_FACTOR * self.other_s + self.transfer_s
        acceptable_s = max(ENOUGH_ROOM_S, other_s)
        return min(self.own_s, MAX_WAIT_S) - min(acceptable_s, MAX_WAIT_S)


class SpillShare:
    """Move the share towards the one at which the own wait is just acceptable.

    Times are in epoch seconds.
    """

    def __init__(self) -> None:
        self._level = 0.0
        self._updated_at = -math.inf

    @property
    def share(self) -> float:
        """Return the share of requests that leave."""
        return self._level if self._level >= MIN_SHARE else 0.0

    def update(self, waits: SpillWaits, now: float) -> float:
        """Return the share after the waits that are expected now."""
        elapsed_s = min(MAX_ELAPSED_S, max(0.0, now - self._updated_at))
        if math.isinf(waits.own_s) or math.isinf(waits.other_s):
            # Nothing is left to choose. What has gone out returns gradually.
            self._level = 1.0 if math.isinf(waits.own_s) else 0.0
            self._updated_at = now
        elif elapsed_s >= MIN_ELAPSED_S:
            self._updated_at = now
            self._move(waits.excess_s, elapsed_s)
        return self.share

    def _move(self, excess_s: float, elapsed_s: float) -> None:
        # Room is noticed by a difference that is as small as the acceptable wait.
        if excess_s > 0:
            rate = MAX_RISE_PER_S * min(1.0, excess_s / FULL_EXCESS_S)
        else:
            rate = MAX_FALL_PER_S * max(-1.0, excess_s / ENOUGH_ROOM_S)
        self._level = min(1.0, max(0.0, self._level + rate * elapsed_s))


def leaves(spread: float, share: float, waits: SpillWaits, tolerated_s: float) -> bool:
    """Return whether a request leaves its data centre.

    `spread` is a number from 0 to 1 that is the same in each try of a request. One that
    would wait longer by more than `tolerated_s` than elsewhere doesn't depend on the
    share, which follows sudden loads with a delay.
    """
    if spread < share:
        return True
    if not waits.has_reports:
        return False
    return waits.own_s - waits.other_s - waits.transfer_s > tolerated_s
