"""Decision which prompt parts crash endpoints, from the crashes and the answers.

A part that crashes each endpoint is in a request at every crash and in no answer. Sound
parts are on crashes too, beside it in the same prompts or by chance; they are answered
elsewhere, which clears them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

from agatehoist.quarantine.types import Answer, Crash, Evidence, Quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes of different endpoints, each with another request, that condemn a part which
# no endpoint has answered, or has not answered since the first of them.
MIN_CRASHES = 3
MIN_CRASHES_IF_ANSWERED = 5
# Endpoints that crash within this time may have a cause in common, such as a failed
# rack, and count once.
COMMON_CAUSE_S = 0.25
# Crashes and answers count for this long.
EVIDENCE_RETENTION_S = 60.0
FIRST_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 3600.0
MAX_COUNT = 64
# A part that isn't asked for again is forgotten this long after its quarantine.
QUARANTINE_RETENTION_S = 3600.0
# After a quarantine the nodes may try the part one after the other, and each for one
# request at a time.
TRIAL_TURN_S = 2.0
TRIAL_S = 5.0
MAX_CRASHES = 256
MAX_ANSWERED_PARTS = 2048
MAX_QUARANTINES = 64
NEVER = -math.inf


class PartQuarantine:
    """Collect evidence of this node and its peers, and hold the quarantined parts."""

    def __init__(self) -> None:
        self._crashes_by_run: OrderedDict[tuple[bytes, bytes], Crash] = OrderedDict()
        self._answered_at_by_part: OrderedDict[bytes, float] = OrderedDict()
        self._quarantines_by_part: dict[bytes, Quarantine] = {}
        self._trial_until_by_part: dict[bytes, float] = {}

    def __bool__(self) -> bool:
        """Return whether any part is quarantined or on trial after a quarantine."""
        return bool(self._quarantines_by_part)

    def note_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash and return whether it is news."""
        run = (crash.endpoint, crash.request)
        if crash.at <= now - EVIDENCE_RETENTION_S or run in self._crashes_by_run:
            return False
        self._crashes_by_run[run] = crash
        if len(self._crashes_by_run) > MAX_CRASHES:
            self._crashes_by_run.popitem(last=False)
        return True

    def note_answer(self, answer: Answer) -> Quarantine | None:
        """Record an answer on a part and return the quarantine that it refutes."""
        part = answer.part
        at = max(answer.at, self._answered_at_by_part.pop(part, NEVER))
        self._answered_at_by_part[part] = at
        if len(self._answered_at_by_part) > MAX_ANSWERED_PARTS:
            self._answered_at_by_part.popitem(last=False)
        quarantine = self._quarantines_by_part.get(part)
        if quarantine is None or quarantine.since >= at:
            return None
        self._lift(part)
        return quarantine

    def refutation(self, quarantine: Quarantine) -> Answer | None:
        """Return the known answer that refutes a quarantine, if any."""
        at = self._answered_at_by_part.get(quarantine.part, NEVER)
        return Answer(quarantine.part, at) if at > quarantine.since else None

    def impose(self, crash: Crash, now: float) -> Quarantine | None:
        """Impose the quarantine that a recorded crash calls for, if it is new.

        Prompts that share a part share those before it too, so the last part with
        enough crashes is the one that explains them.
        """
        for part in reversed(crash.parts):
            quarantine = self._judge(part, now)
            if quarantine is not None:
                self._put(quarantine)
                return quarantine
        return None

    def accept(self, quarantine: Quarantine, now: float) -> bool:
        """Take over a peer's quarantine and return whether it is news."""
        known = self._quarantines_by_part.get(quarantine.part)
        if known is not None and known.count >= quarantine.count:
            return False
        latest = now + MAX_QUARANTINE_S
        self._put(replace(quarantine, until=min(quarantine.until, latest)))
        return True

    def refused_until(
        self, parts: Iterable[bytes], turn: int, now: float
    ) -> float | None:
        """Return until when a request with these parts is refused, or None.

        After a quarantine, requests of a node are let through one at a time, and only
        from its turn among the nodes on.
        """
        untils = []
        for part in parts:
            quarantine = self._quarantines_by_part.get(part)
            if quarantine is not None:
                untils.append(quarantine.until + turn * TRIAL_TURN_S)
                untils.append(self._trial_until_by_part.get(part, NEVER))
        until = max(untils, default=NEVER)
        return until if now < until else None

    def note_sent(self, parts: Iterable[bytes], now: float) -> None:
        """Record a request to an endpoint; the next with a part on trial waits."""
        for part in parts:
            if part in self._quarantines_by_part:
                self._trial_until_by_part[part] = now + TRIAL_S

    def is_accused(self, parts: Iterable[bytes], endpoint: bytes) -> bool:
        """Return whether a part has been on the crash of another endpoint as well."""
        return any(
            each.endpoint != endpoint
            for part in parts
            for each in self._unexplained_crashes(part)
        )

    def standing(self, now: float, crashes_since: float) -> Evidence:
        """Return the quarantines and the latest crashes, which peers may have missed.

        Ended quarantines that no answer has refuted are among them, as one more crash
        renews them.
        """
        self._forget_ended(now)
        crashes = (
            each for each in self._crashes_by_run.values() if each.at > crashes_since
        )
        quarantines = self._quarantines_by_part.values()
        return Evidence(
            tuple(sorted(crashes, key=lambda each: each.at, reverse=True)),
            (),
            tuple(sorted(quarantines, key=lambda each: each.until, reverse=True)),
        )

    def _judge(self, part: bytes, now: float) -> Quarantine | None:
        """Return the quarantine that the crashes of a part call for, if it is new."""
        before = self._quarantines_by_part.get(part)
        if before is not None and now < before.until:
            return None
        crashes = self._counted_crashes(part, now)
        if before is not None:
            # A part whose quarantine has ended is condemned by its next crash.
            if not crashes or crashes[-1].at <= before.until:
                return None
            count = min(before.count + 1, MAX_COUNT)
            length_s = min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2 ** (count - 1))
            return Quarantine(part, before.since, now + length_s, count)
        answered_at = self._answered_at_by_part.get(part, NEVER)
        is_answered = answered_at > now - EVIDENCE_RETENTION_S
        if len(crashes) < (MIN_CRASHES_IF_ANSWERED if is_answered else MIN_CRASHES):
            return None
        return Quarantine(part, crashes[0].at, now + FIRST_QUARANTINE_S, 1)

    def _counted_crashes(self, part: bytes, now: float) -> list[Crash]:
        """Return crashes of a part that differ in endpoint, request and cause."""
        counted: list[Crash] = []
        crashes = self._unexplained_crashes(part)
        for crash in sorted(crashes, key=lambda each: each.at):
            if crash.at <= now - EVIDENCE_RETENTION_S:
                continue
            is_same_cause = counted and crash.at < counted[-1].at + COMMON_CAUSE_S
            is_repeat = any(
                crash.endpoint == each.endpoint or crash.request == each.request
                for each in counted
            )
            if not is_same_cause and not is_repeat:
                counted.append(crash)
        return counted

    def _unexplained_crashes(self, part: bytes) -> list[Crash]:
        """Return the crashes since the last answer that no other part explains."""
        answered_at = self._answered_at_by_part.get(part, NEVER)
        return [
            each
            for each in self._crashes_by_run.values()
            if part in each.parts
            and each.at > answered_at
            and not any(
                other != part and other in self._quarantines_by_part
                for other in each.parts
            )
        ]

    def _put(self, quarantine: Quarantine) -> None:
        self._quarantines_by_part[quarantine.part] = quarantine
        self._trial_until_by_part.pop(quarantine.part, None)
        if len(self._quarantines_by_part) > MAX_QUARANTINES:
            first = min(self._quarantines_by_part.values(), key=lambda each: each.until)
            self._lift(first.part)

    def _lift(self, part: bytes) -> None:
        self._quarantines_by_part.pop(part, None)
        self._trial_until_by_part.pop(part, None)

    def _forget_ended(self, now: float) -> None:
        for each in tuple(self._quarantines_by_part.values()):
            if each.until + QUARANTINE_RETENTION_S <= now:
                self._lift(each.part)
