"""Errors of the claims package."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.errors import AgatehoistError

if TYPE_CHECKING:
    from agatehoist.claims.types import StoredClaim


class ClaimTakenError(AgatehoistError):
    """Report that the stored claim isn't the one that was read or written."""

    def __init__(self, found: StoredClaim) -> None:
        super().__init__(f"claim is at version {found.version}")
        self.found = found
