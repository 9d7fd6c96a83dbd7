"""Decision which requests and prompt parts crash endpoints, from crashes and answers.

A trait that crashes each endpoint is in a request at every crash and in no answer.
Sound traits are on crashes too, beside it in the same request or by chance; they are
answered elsewhere, which clears them. Until then, traits that were always on the same
crashes are refused only together.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

from agatehoist.quarantine.types import Answer, Crash, Evidence, Quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes of different endpoints that condemn a trait which no endpoint has answered, or
# has not answered since the first of them.
MIN_CRASHES = 3
MIN_CRASHES_IF_ANSWERED = 5
# A single request that is unlucky more than once tells nothing about its prompt parts.
MIN_REQUESTS = 2
# Endpoints that crash within this time may have a cause in common, such as a failed
# rack, and count once, unless a request was sent after the first of the crashes.
COMMON_CAUSE_S = 0.25
CRASH_RETENTION_S = 600.0
# A trait counts as answered before for this long after an answer.
ANSWERED_S = 60.0
FIRST_QUARANTINE_S = 120.0
# A sound request that is repeated beside a deadly one may be on the same crashes, so it
# is tried again soon.
FIRST_REQUEST_QUARANTINE_S = 10.0
MAX_QUARANTINE_S = 3600.0
MAX_COUNT = 64
# A trait that isn't asked for again is forgotten this long after its quarantine.
QUARANTINE_RETENTION_S = 3600.0
# After a quarantine the nodes may try the trait one after the other, and each for one
# request at a time.
TRIAL_TURN_S = 2.0
TRIAL_S = 5.0
# When a rack fails, all the requests on its endpoints are on crashes.
MAX_CRASHES = 1024
MAX_ANSWERED_TRAITS = 2048
# Of so many of the oldest answers, the first on a trait without crashes is dropped; the
# others are kept, as they clear crashes.
MAX_OLDEST_ANSWERS = 16
MAX_QUARANTINES = 256
NEVER = -math.inf


class TraitQuarantine:
    """Collect evidence of this node and its peers, and hold the quarantined traits."""

    def __init__(self) -> None:
        self._crashes_by_run: OrderedDict[tuple[bytes, bytes], Crash] = OrderedDict()
        self._crashes_by_trait: dict[bytes, list[Crash]] = {}
        self._answered_at_by_trait: OrderedDict[bytes, float] = OrderedDict()
        self._quarantines_by_traits: dict[frozenset[bytes], Quarantine] = {}
        self._trial_until_by_traits: dict[frozenset[bytes], float] = {}

    @property
    def has_records(self) -> bool:
        """Return whether any crash or quarantine is on record."""
        return bool(self._crashes_by_run) or self.has_quarantines

    @property
    def has_quarantines(self) -> bool:
        """Return whether requests with any traits are, or were, to be refused."""
        return bool(self._quarantines_by_traits)

    def concerns(self, traits: Iterable[bytes]) -> bool:
        """Return whether a request with these traits is, or was, to be refused."""
        return self.has_quarantines and bool(self._quarantines_on(traits))

    def is_on_record(self, trait: bytes) -> bool:
        """Return whether a crash or a quarantine has a trait."""
        return trait in self._crashes_by_trait or any(
            trait in traits for traits in self._quarantines_by_traits
        )

    def note_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash and return whether it is news."""
        run = (crash.endpoint, crash.request)
        if crash.at <= now - CRASH_RETENTION_S or run in self._crashes_by_run:
            return False
        self._crashes_by_run[run] = crash
        for trait in set(crash.traits):
            self._crashes_by_trait.setdefault(trait, []).append(crash)
        if len(self._crashes_by_run) > MAX_CRASHES:
            self._forget_first_crash()
        return True

    def note_answer(self, answer: Answer) -> bool:
        """Record an answer on a trait and return whether it changes a quarantine."""
        trait = answer.trait
        at = max(answer.at, self._answered_at_by_trait.pop(trait, NEVER))
        self._answered_at_by_trait[trait] = at
        if len(self._answered_at_by_trait) > MAX_ANSWERED_TRAITS:
            self._forget_first_answer()
        changed = [
            each
            for each in self._quarantines_by_traits.values()
            if trait in each.traits and each.since < at
        ]
        for each in changed:
            self._lift(each.traits)
            if left := each.traits - {trait}:
                self._put(replace(each, traits=left))
        return bool(changed)

    def refutations(self, quarantine: Quarantine) -> tuple[Answer, ...]:
        """Return the known answers that clear traits of a quarantine."""
        return tuple(
            Answer(trait, at)
            for trait in sorted(quarantine.traits)
            if (at := self._answered_at_by_trait.get(trait, NEVER)) > quarantine.since
        )

    def impose(self, crash: Crash, now: float) -> Quarantine | None:
        """Impose the quarantine that a recorded crash calls for, if it is new."""
        if any(
            now < each.until and each.traits.issubset(crash.traits)
            for each in self._quarantines_by_traits.values()
        ):
            return None
        quarantine = self._renewal(crash, now) or self._condemnation(crash, now)
        if quarantine is not None:
            self._put(quarantine)
        return quarantine

    def accept(self, quarantine: Quarantine, now: float) -> Quarantine | None:
        """Take over what no answer refutes of a peer's quarantine; return it if new.

        A quarantine of fewer of the same traits rests on more evidence.
        """
        cleared = {each.trait for each in self.refutations(quarantine)}
        traits = quarantine.traits - cleared
        known = self._quarantines_by_traits
        if not traits or any(each < traits for each in known):
            return None
        if traits in known and known[traits].count >= quarantine.count:
            return None
        until = min(quarantine.until, now + MAX_QUARANTINE_S)
        accepted = replace(quarantine, traits=traits, until=until)
        self._put(accepted)
        return accepted

    def refusal_of(
        self, traits: Iterable[bytes], turn: int, now: float
    ) -> Quarantine | None:
        """Return the quarantine for which a request is refused, with its end, or None.

        After a quarantine, requests of a node are let through one at a time, and only
        from its turn among the nodes on.
        """
        latest = None
        for each in self._quarantines_on(traits):
            trial_until = self._trial_until_by_traits.get(each.traits, NEVER)
            until = max(each.until + turn * TRIAL_TURN_S, trial_until)
            if until > now and (latest is None or until > latest.until):
                latest = replace(each, until=until)
        return latest

    def note_sent(self, traits: Iterable[bytes], now: float) -> None:
        """Record a request to an endpoint; the next with traits on trial waits."""
        for each in self._quarantines_on(traits):
            self._trial_until_by_traits[each.traits] = now + TRIAL_S

    def accused(self, crash: Crash, now: float) -> bytes | None:
        """Return the trait that a crash condemns if it is confirmed, or None."""
        for trait in reversed(crash.traits):
            counted = self._counted_crashes(trait, now)
            elsewhere = sum(each.endpoint != crash.endpoint for each in counted)
            if elsewhere >= self._needed_crashes(trait, now) - 1:
                return trait
        return None

    def has_answered(self, trait: bytes, now: float) -> bool:
        """Return whether an endpoint is known to have answered a trait of late."""
        return self._answered_at_by_trait.get(trait, NEVER) > now - ANSWERED_S

    def standing(self, now: float, crashes_since: float) -> Evidence:
        """Return the quarantines and the latest crashes, which peers may have missed.

        Ended quarantines that no answer has refuted are among them, as one more crash
        renews them.
        """
        self._forget_ended(now)
        crashes = (
            each for each in self._crashes_by_run.values() if each.at > crashes_since
        )
        return Evidence(
            tuple(sorted(crashes, key=lambda each: each.at, reverse=True)),
            (),
            tuple(self._quarantines_by_traits.values()),
        )

    def _renewal(self, crash: Crash, now: float) -> Quarantine | None:
        """Return the quarantine of traits whose last one had ended before a crash."""
        for each in self._quarantines_by_traits.values():
            if each.traits.issubset(crash.traits) and crash.at > each.until:
                count = min(each.count + 1, MAX_COUNT)
                is_request = crash.fingerprint in each.traits
                until = now + _length_s(count, is_request)
                return replace(each, until=until, count=count)
        return None

    def _condemnation(self, crash: Crash, now: float) -> Quarantine | None:
        """Return the quarantine of the traits that the crashes so far condemn.

        Requests that share a trait mostly share the wider ones before it too, so the
        last trait with enough crashes explains them, alone or with others on all of the
        same crashes.
        """
        counted_by_trait = {
            trait: self._counted_crashes(trait, now) for trait in crash.traits
        }
        condemned = [
            trait
            for trait, counted in counted_by_trait.items()
            if len(counted) >= self._needed_crashes(trait, now)
            and (trait == crash.fingerprint or _is_on_several_requests(counted))
        ]
        if not condemned:
            return None
        counted = counted_by_trait[condemned[-1]]
        traits = frozenset(
            trait
            for trait in condemned
            if all(trait in each.traits for each in counted)
        )
        until = now + _length_s(1, crash.fingerprint in traits)
        return Quarantine(traits, counted[0].at, until, 1)

    def _needed_crashes(self, trait: bytes, now: float) -> int:
        if self.has_answered(trait, now):
            return MIN_CRASHES_IF_ANSWERED
        return MIN_CRASHES

    def _counted_crashes(self, trait: bytes, now: float) -> list[Crash]:
        """Return crashes of a trait that differ in endpoint and cause."""
        counted: list[Crash] = []
        crashes = self._unexplained_crashes(trait)
        for crash in sorted(crashes, key=lambda each: each.at):
            if crash.at <= now - CRASH_RETENTION_S:
                continue
            is_same_cause = counted and _may_have_common_cause(counted[-1], crash)
            is_repeat = any(crash.endpoint == each.endpoint for each in counted)
            if not is_same_cause and not is_repeat:
                counted.append(crash)
        return counted

    def _unexplained_crashes(self, trait: bytes) -> list[Crash]:
        """Return the crashes since the last answer that no other trait explains."""
        answered_at = self._answered_at_by_trait.get(trait, NEVER)
        explained = self._explained_runs(trait)
        return [
            each
            for each in self._crashes_by_trait.get(trait, ())
            if each.at > answered_at and (each.endpoint, each.request) not in explained
        ]

    def _explained_runs(self, trait: bytes) -> set[tuple[bytes, bytes]]:
        """Return the runs whose crashes quarantines without a trait explain."""
        return {
            (each.endpoint, each.request)
            for traits in self._quarantines_by_traits
            if trait not in traits
            for each in self._crashes_of_rarest(traits)
            if traits.issubset(each.traits)
        }

    def _crashes_of_rarest(self, traits: frozenset[bytes]) -> list[Crash]:
        return min((self._crashes_by_trait.get(t, []) for t in traits), key=len)

    def _quarantines_on(self, traits: Iterable[bytes]) -> list[Quarantine]:
        held = set(traits)
        return [
            each for each in self._quarantines_by_traits.values() if each.traits <= held
        ]

    def _put(self, quarantine: Quarantine) -> None:
        """Store a quarantine in place of those of more traits."""
        for traits in tuple(self._quarantines_by_traits):
            if traits >= quarantine.traits:
                self._lift(traits)
        self._quarantines_by_traits[quarantine.traits] = quarantine
        if len(self._quarantines_by_traits) > MAX_QUARANTINES:
            first = min(
                self._quarantines_by_traits.values(), key=lambda each: each.until
            )
            self._lift(first.traits)

    def _lift(self, traits: frozenset[bytes]) -> None:
        self._quarantines_by_traits.pop(traits, None)
        self._trial_until_by_traits.pop(traits, None)

    def _forget_ended(self, now: float) -> None:
        for each in tuple(self._quarantines_by_traits.values()):
            if each.until + QUARANTINE_RETENTION_S <= now:
                self._lift(each.traits)
        while self._crashes_by_run:
            first = next(iter(self._crashes_by_run.values()))
            if first.at > now - CRASH_RETENTION_S:
                break
            self._forget_first_crash()

    def _forget_first_answer(self) -> None:
        """Drop the oldest answer, if possible one on a trait without crashes."""
        for _ in range(MAX_OLDEST_ANSWERS):
            trait, at = self._answered_at_by_trait.popitem(last=False)
            if trait not in self._crashes_by_trait:
                return
            self._answered_at_by_trait[trait] = at
        self._answered_at_by_trait.popitem(last=False)

    def _forget_first_crash(self) -> None:
        """Drop the crash that was recorded first."""
        _, crash = self._crashes_by_run.popitem(last=False)
        for trait in set(crash.traits):
            crashes = self._crashes_by_trait[trait]
            crashes.remove(crash)
            if not crashes:
                del self._crashes_by_trait[trait]


def _length_s(count: int, is_request: bool) -> float:
    """Return the length of a quarantine that is the count-th in a row."""
    if is_request:
        if count == 1:
            return FIRST_REQUEST_QUARANTINE_S
        count -= 1
    return min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2 ** (count - 1))


def _may_have_common_cause(first: Crash, later: Crash) -> bool:
    return later.sent_at < first.at and later.at < first.at + COMMON_CAUSE_S


def _is_on_several_requests(crashes: list[Crash]) -> bool:
    return len({each.request for each in crashes}) >= MIN_REQUESTS
