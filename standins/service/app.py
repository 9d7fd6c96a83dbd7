"""HTTP routes of the service stand-in: a lookup of a card and a booking.

Lookups are idempotent. Bookings aren't, so the stand-in counts how often each one runs.
"""

from __future__ import annotations

import collections
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request


class Service:
    """Handle lookups and bookings."""

    def __init__(self, journal: str) -> None:
        self._journal = Path(journal) if journal else None
        self.runs_by_reference: collections.Counter[str] = collections.Counter()

    async def look_up(self, request: Request) -> Response:
        """Handle an idempotent lookup."""
        card = request.path_params["card"]
        return JSONResponse({"card": card, "title": f"Song {card}"})

    async def book(self, request: Request) -> Response:
        """Handle a non-idempotent booking, and count its run."""
        fields = await request.json()
        reference = str(fields["reference"])
        self._record_run(reference)
        await anyio.sleep(float(fields.get("delay", 0)))
        runs = self.runs_by_reference[reference]
        return JSONResponse({"reference": reference, "runs": runs}, 201)

    def _record_run(self, reference: str) -> None:
        self.runs_by_reference[reference] += 1
        if self._journal is not None:
            # The file outlives the process, so that tests can find double runs in it.
            with self._journal.open("a", encoding="utf-8") as file:
                file.write(f"{reference}\n")

    async def list_runs(self, _request: Request) -> Response:
        """Return the number of runs by reference."""
        return JSONResponse(dict(self.runs_by_reference))


def make_app(journal: str = "") -> Starlette:
    """Return the ASGI application of the service."""
    service = Service(journal)
    return Starlette(
        routes=[
            Route("/cards/{card}", service.look_up),
            Route("/bookings", service.book, methods=["POST"]),
            Route("/runs", service.list_runs),
        ]
    )
