"""Decision where a stream that its caller resumes began, without a network."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from agatehoist.software.assignment import (
    ADOPTION_S,
    MAX_STREAM_AGE_S,
    possible_software,
)
from agatehoist.software.journal import JournaledVersions
from agatehoist.software.types import ShareRecord

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Hold the version at which a stream began, and how it was found."""

    software: str
    source: str


@dataclass(frozen=True, slots=True)
class OriginEvidence:
    """Hold what a gateway knows of a stream besides those that it has passed on itself.

    `request_id` is None if the caller doesn't name the stream. `journaled` is None if
    the journals can't be read. Without a `record`, `is_unrecorded` tells that the store
    has none. `listed` are the versions of the endpoints that serve now.
    """

    request_id: str | None
    record: ShareRecord | None
    journaled: JournaledVersions | None
    is_unrecorded: bool
    listed: frozenset[str]
    now: float

    @property
    def named(self) -> frozenset[str]:
        """Return the versions that the journals name for the stream."""
        if self.request_id is None or self.journaled is None:
            return frozenset()
        return self.journaled.of(self.request_id)


# In the order in which they are asked; the first that returns a version is right.
ORIGIN_RULES: Registry[Callable[[OriginEvidence], str | None]] = Registry(
    "rule for the origin of a stream"
)


def find_origin(evidence: OriginEvidence) -> FoundOrigin | None:
    """Return where a stream began, None if that isn't certain."""
    if len(evidence.named) > 1:
        return None
    for source in ORIGIN_RULES:
        software = ORIGIN_RULES[source](evidence)
        if software is not None:
            return FoundOrigin(software, str(source))
    return None


# Before the assignment: the journals have the streams that began elsewhere.
@ORIGIN_RULES.register("journal")
def _journaled(evidence: OriginEvidence) -> str | None:
    return _only(evidence.named)


@ORIGIN_RULES.register("assigned")
def _assigned(evidence: OriginEvidence) -> str | None:
    if evidence.record is None or evidence.request_id is None:
        return None
    possible = possible_software(evidence.record, evidence.request_id, evidence.now)
    return _only(possible)


@ORIGIN_RULES.register("only version with a share")
def _only_shared(evidence: OriginEvidence) -> str | None:
    if evidence.record is None or evidence.request_id is not None:
        return None
    return _only(_unless_others_journaled(evidence, _shared(evidence)))


@ORIGIN_RULES.register("only version listed")
def _only_listed(evidence: OriginEvidence) -> str | None:
    """Return the only version there is where no shares have ever been set."""
    is_certain = evidence.is_unrecorded and evidence.journaled is not None
    if evidence.record is not None or not is_certain:
        return None
    return _only(_unless_others_journaled(evidence, evidence.listed))


def _shared(evidence: OriginEvidence) -> frozenset[str]:
    """Return the versions that have had a share while the stream may have begun."""
    assert evidence.record is not None
    periods = evidence.record.periods
    earliest_start = evidence.now - MAX_STREAM_AGE_S
    ends_at = [each.began_at + ADOPTION_S for each in periods[1:]] + [evidence.now]
    return frozenset(
        software
        for period, end in zip(periods, ends_at, strict=True)
        if end > earliest_start
        for software, share in period.shares_by_software.items()
        if share > 0
    )


def _unless_others_journaled(
    evidence: OriginEvidence, versions: frozenset[str]
) -> frozenset[str]:
    if evidence.journaled is None:
        return versions
    return versions | evidence.journaled.all()


def _only(versions: frozenset[str]) -> str | None:
    return next(iter(versions)) if len(versions) == 1 else None
