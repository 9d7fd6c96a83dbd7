"""Base class of tests that run a fleet of processes."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import httpx

from standins.fleet import ARCHIVE_KEY, MODEL, run_fleet

if TYPE_CHECKING:
    from standins.fleet import Fleet


class FleetTestCase(unittest.TestCase):
    """Start one fleet for the class; subclasses set the arguments of `run_fleet`."""

    fleet_options: ClassVar[dict[str, Any]] = {}
    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.fleet = cls.enterClassContext(run_fleet(Path(folder), **cls.fleet_options))

    def client(self, router: int = 0, key: str = ARCHIVE_KEY) -> httpx.Client:
        """Return an HTTP client of a router that sends a key with each request."""
        client = httpx.Client(
            base_url=self.fleet.url(f"router-{router}"),
            headers={"Authorization": f"Bearer {key}"},
            timeout=20,
        )
        self.addCleanup(client.close)
        return client


def completion_body(text: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a completion request."""
    return {"model": MODEL, "prompt": text, **fields}
