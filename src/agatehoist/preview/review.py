"""Findings on a draft, and what it changes in the version in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.preview import entries, limits
from agatehoist.preview.types import CHECKS, Place, PlacedFinding, Section, Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.limits.types import Allotment
    from agatehoist.preview.types import Draft

# These modules register their checks when they are imported.
CHECK_MODULES = (entries, limits)


def run_checks(draft: Draft) -> tuple[PlacedFinding, ...]:
    """Return the findings of all checks, in the order of their registration."""
    return tuple(finding for name in CHECKS for finding in CHECKS[name](draft))


def compare_versions(before: Draft, after: Draft) -> Iterator[PlacedFinding]:
    """Yield an error for a change without a higher version, which gateways ignore."""
    version = before.table.version
    if after != before and after.table.version <= version:
        text = f"not above {version}, the one in force: gateways ignore the change"
        yield PlacedFinding(Severity.ERROR, Place(Section.VERSION), text)


def lowered_allotments(before: Draft, after: Draft) -> Iterator[str]:
    """Yield the names of organisations that may use less than before."""
    earlier = {
        each.organisation.name: each.organisation.allotment
        for each in before.key_holders
    }
    for each in after.key_holders:
        name = each.organisation.name
        if name in earlier and _is_lowered(earlier[name], each.organisation.allotment):
            yield name


def _is_lowered(before: Allotment | None, after: Allotment | None) -> bool:
    if after is None or before is None:
        return after is not None
    return (
        after.unit is not before.unit
        or after.rate_per_s < before.rate_per_s
        or after.burst < before.burst
        # The same requests count for more.
        or after.uncounted_tokens > before.uncounted_tokens
    )
