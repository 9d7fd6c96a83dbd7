"""Revisions of the object store, which orders them within one era."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Name a state of the store; a later era comes after all of an earlier one.

    The store begins an era when it comes back from an older copy. What was written
    after the copy is gone, and its numbers are given out again. A store that states no
    era has 0.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


NO_REVISION = Revision(0, 0)
