"""Check of all invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak import (  # noqa: F401
    answer_invariants,
    deadly_invariants,
    resumption_invariants,
    stop_invariants,
)
from soak.invariants import INVARIANT_CHECKS

if TYPE_CHECKING:
    from soak.types import SoakRecord, Violation


def find_violations(record: SoakRecord) -> list[Violation]:
    """Check all invariants and return the violations."""
    return [
        violation
        for name in INVARIANT_CHECKS
        for violation in INVARIANT_CHECKS[name](record)
    ]
