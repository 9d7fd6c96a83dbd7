"""Storage of claims on idempotency keys as objects of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import cattrs

from agatehoist.claims.errors import ClaimTakenError
from agatehoist.claims.types import Claim, StoredClaim
from agatehoist.storage.budget import Purpose
from agatehoist.storage.content import read_content
from agatehoist.storage.errors import ConflictError, PlatformUnavailableError

if TYPE_CHECKING:
    from agatehoist.storage.client import PlatformClient
    from agatehoist.storage.types import StoredObject

CLAIM_KIND = "claims"
WRITE_RETRY_INTERVAL_S = 0.1
# Limit for all repeats of one write together.
WRITE_TIMEOUT_S = 2.0


class ClaimStore:
    """Read and write claims, and repeat writes whose answer was lost."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def write(
        self, name: str, claim: Claim, version: int, timeout_s: float = WRITE_TIMEOUT_S
    ) -> int:
        """Write a claim over a version, 0 to create it, and return its new version.

        Raises ClaimTakenError if another claim was written, PlatformError if the write
        could not be confirmed in time.
        """
        deadline = anyio.current_time() + timeout_s
        while True:
            try:
                return await self._put(name, claim, version)
            except PlatformUnavailableError:
                if anyio.current_time() + WRITE_RETRY_INTERVAL_S >= deadline:
                    raise
            await anyio.sleep(WRITE_RETRY_INTERVAL_S)

    async def wait_for_newer(self, name: str, version: int) -> StoredClaim | None:
        """Return the claim once it is newer than the version, or None on a timeout.

        The timeout is WATCH_TIMEOUT_S of the platform's client. Raises PlatformError.
        """
        found = await self._platform.watch(CLAIM_KIND, name, version, Purpose.CLAIMS)
        return None if found is None else _claim_from_object(found)

    async def _put(self, name: str, claim: Claim, version: int) -> int:
        value = cattrs.unstructure(claim)
        try:
            stored = await self._platform.put(
                CLAIM_KIND, name, value, version, Purpose.CLAIMS
            )
        except ConflictError:
            # An earlier attempt at this write may have succeeded with its answer lost.
            found = _claim_from_object(
                await self._platform.get(CLAIM_KIND, name, Purpose.CLAIMS)
            )
            if found.claim != claim:
                raise ClaimTakenError(found) from None
            return found.version
        return stored.version


def _claim_from_object(stored: StoredObject) -> StoredClaim:
    return StoredClaim(stored.version, read_content(stored, Claim))
