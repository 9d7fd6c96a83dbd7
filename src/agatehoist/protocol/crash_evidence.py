"""Datagrams in which gateways tell each other which requests crash endpoints.

They carry ages instead of times, since the clocks of the nodes differ.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgpack

from agatehoist.core.units import MS_PER_S
from agatehoist.protocol.datagrams import CRASH_EVIDENCE
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.node_reports import checked_key
from agatehoist.quarantine.trait_quarantine import MAX_COUNT
from agatehoist.quarantine.types import Answer, Crash, Evidence, Quarantine

if TYPE_CHECKING:
    from collections.abc import Iterator

# Entries of each kind in one datagram; with all of them it takes some 1,300 bytes.
MAX_CRASHES = 5
MAX_ANSWERS = 12
MAX_QUARANTINES = 8
MAX_PARTS_PER_CRASH = 8
# The parts of a prompt and the fingerprint.
MAX_TRAITS = MAX_PARTS_PER_CRASH + 1
MAX_DURATION_MS = 24 * 3600 * 1000


def split_evidence(evidence: Evidence) -> Iterator[Evidence]:
    """Yield the evidence in pieces of one datagram each, at least one."""
    datagrams = max(
        1,
        math.ceil(len(evidence.crashes) / MAX_CRASHES),
        math.ceil(len(evidence.answers) / MAX_ANSWERS),
        math.ceil(len(evidence.quarantines) / MAX_QUARANTINES),
    )
    for n in range(datagrams):
        yield Evidence(
            evidence.crashes[n * MAX_CRASHES : (n + 1) * MAX_CRASHES],
            evidence.answers[n * MAX_ANSWERS : (n + 1) * MAX_ANSWERS],
            evidence.quarantines[n * MAX_QUARANTINES : (n + 1) * MAX_QUARANTINES],
        )


def encode_evidence(evidence: Evidence, now: float) -> bytes:
    """Encode evidence with times in epoch seconds; only the first entries fit."""
    crashes = [
        [
            each.parts,
            each.fingerprint,
            each.endpoint,
            each.request,
            _age_ms(each.sent_at, now),
            _age_ms(each.at, now),
        ]
        for each in evidence.crashes[:MAX_CRASHES]
    ]
    answers = [
        [each.trait, _age_ms(each.at, now)] for each in evidence.answers[:MAX_ANSWERS]
    ]
    quarantines = [
        [
            sorted(each.traits),
            _age_ms(each.since, now),
            _to_ms(each.until - now),
            each.count,
        ]
        for each in evidence.quarantines[:MAX_QUARANTINES]
    ]
    data: bytes = msgpack.packb([CRASH_EVIDENCE, crashes, answers, quarantines])
    return data


def decode_evidence(data: bytes, sent_at: float) -> Evidence:
    """Decode the evidence in a datagram, with times that count from `sent_at`.

    Raises BadFrameError.
    """
    try:
        kind, crashes, answers, quarantines = msgpack.unpackb(data)
        if kind != CRASH_EVIDENCE:
            raise ValueError(f"unexpected kind {kind!r}")
        return Evidence(
            tuple(_read_crash(each, sent_at) for each in crashes),
            tuple(_read_answer(each, sent_at) for each in answers),
            tuple(_read_quarantine(each, sent_at) for each in quarantines),
        )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"invalid evidence on crashes: {error}") from error


def _read_crash(fields: Any, sent_at: float) -> Crash:
    parts, fingerprint, endpoint, request, sent_age_ms, age_ms = fields
    if len(parts) > MAX_PARTS_PER_CRASH:
        raise ValueError(f"{len(parts)} parts of a prompt")
    return Crash(
        _read_keys(parts),
        checked_key(fingerprint),
        checked_key(endpoint),
        checked_key(request),
        sent_at - _to_s(sent_age_ms),
        sent_at - _to_s(age_ms),
    )


def _read_answer(fields: Any, sent_at: float) -> Answer:
    trait, age_ms = fields
    return Answer(checked_key(trait), sent_at - _to_s(age_ms))


def _read_quarantine(fields: Any, sent_at: float) -> Quarantine:
    traits, age_ms, left_ms, count = fields
    if not 0 < len(traits) <= MAX_TRAITS:
        raise ValueError(f"{len(traits)} quarantined traits")
    return Quarantine(
        frozenset(_read_keys(traits)),
        sent_at - _to_s(age_ms),
        # An ended quarantine is told too, as one more crash renews it.
        sent_at + _to_s(left_ms, -MAX_DURATION_MS),
        _checked_count(count),
    )


def _read_keys(fields: Any) -> tuple[bytes, ...]:
    return tuple(checked_key(each) for each in fields)


def _age_ms(at: float, now: float) -> int:
    return max(0, _to_ms(now - at))


def _to_ms(duration_s: float) -> int:
    return min(round(duration_s * MS_PER_S), MAX_DURATION_MS)


def _to_s(duration_ms: Any, least_ms: int = 0) -> float:
    if type(duration_ms) is not int or not least_ms <= duration_ms <= MAX_DURATION_MS:
        raise ValueError(f"duration {duration_ms!r:.40} is out of range")
    return duration_ms / MS_PER_S


def _checked_count(value: Any) -> int:
    if type(value) is not int or not 1 <= value <= MAX_COUNT:
        raise ValueError(f"count {value!r:.40} is not between 1 and {MAX_COUNT}")
    return value
