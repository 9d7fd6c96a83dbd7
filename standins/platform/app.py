"""HTTP routes of the platform stand-in."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.platform.store import Store, VersionConflict
from standins.platform.weights import WeightStore, weight_routes

if TYPE_CHECKING:
    from starlette.requests import Request

HOSTS_KIND = "hosts"


@dataclass
class PlatformFaults:
    """Configure the faults of the stand-in.

    Times are in seconds; lost_answers is the number of next writes that take effect but
    return 503; old_reads is how many versions behind the newest one reads are; list_lag
    is the age of the host list.
    """

    down: bool = False
    delay: float = 0.0
    lost_answers: int = 0
    old_reads: int = 0
    list_lag: float = 0.0


@dataclass(frozen=True)
class HostList:
    """Hold the host list as of a change, with its monotonic time in seconds."""

    written_at: float
    entries: list[Any]


class Platform:
    """Handle the requests to the platform's API."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = PlatformFaults()
        self._host_lists = collections.deque([HostList(0.0, [])])

    async def get(self, request: Request) -> Response:
        """Return one object."""
        self.store.calls_by_operation["read"] += 1
        kind, name = _object_key(request)
        found = self.store.get(kind, name, self.faults.old_reads)
        return await self._answer(_render(kind, name, found))

    async def list_names(self, request: Request) -> Response:
        """Return the names of the objects of a kind."""
        self.store.calls_by_operation["read"] += 1
        names = self.store.names(request.path_params["kind"])
        return await self._answer(JSONResponse(names))

    async def put(self, request: Request) -> Response:
        """Write one object if it is at the version in If-Match."""
        self.store.calls_by_operation["write"] += 1
        if self.faults.down:
            return Response(status_code=503)
        kind, name = _object_key(request)
        value = (await request.json())["value"]
        try:
            version = int(request.headers.get("if-match", "0"))
            self.store.put(kind, name, value, version)
        except VersionConflict as error:
            return await self._answer(Response(str(error), 412))
        self._record_host_list(kind)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return Response(status_code=503)
        return await self._answer(_render(kind, name, self.store.get(kind, name)))

    async def delete(self, request: Request) -> Response:
        """Delete one object."""
        self.store.calls_by_operation["write"] += 1
        kind, name = _object_key(request)
        if self.faults.down:
            return Response(status_code=503)
        self.store.delete(kind, name)
        self._record_host_list(kind)
        return await self._answer(Response(status_code=204))

    async def watch(self, request: Request) -> Response:
        """Return the object once it is newer than a version, or 204 at the timeout."""
        self.store.calls_by_operation["watch"] += 1
        kind, name = _object_key(request)
        after = int(request.query_params["after"])
        with anyio.move_on_after(float(request.query_params["timeout"])):
            versions_back = self.faults.old_reads
            found = await self.store.wait_past(kind, name, after, versions_back)
            return await self._answer(_render(kind, name, found))
        return Response(status_code=204)

    async def list_hosts(self, _request: Request) -> Response:
        """Return the host list, which may lag behind the host objects."""
        self.store.calls_by_operation["read"] += 1
        oldest = anyio.current_time() - self.faults.list_lag
        while len(self._host_lists) > 1 and self._host_lists[1].written_at <= oldest:
            self._host_lists.popleft()
        return await self._answer(JSONResponse(self._host_lists[0].entries))

    async def calls(self, _request: Request) -> Response:
        """Return the number of reads, writes and watches."""
        return JSONResponse(dict(self.store.calls_by_operation))

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self.faults = PlatformFaults(**await request.json())
        return Response(status_code=204)

    def _record_host_list(self, kind: str) -> None:
        if kind == HOSTS_KIND:
            names = self.store.names(HOSTS_KIND)
            found = [self.store.get(HOSTS_KIND, name) for name in names]
            entries = [each[1] for each in found if each is not None]
            self._host_lists.append(HostList(anyio.current_time(), entries))

    async def _answer(self, response: Response) -> Response:
        await anyio.sleep(self.faults.delay)
        if self.faults.down:
            return Response(status_code=503)
        return response


def make_app() -> Starlette:
    """Return the ASGI application of the platform."""
    platform = Platform()
    path = "/objects/{kind}/{name}"
    return Starlette(
        routes=[
            Route(path, platform.get, methods=["GET"]),
            Route(path, platform.put, methods=["PUT"]),
            Route(path, platform.delete, methods=["DELETE"]),
            Route("/objects/{kind}", platform.list_names),
            Route("/watch/{kind}/{name}", platform.watch),
            Route("/hosts", platform.list_hosts),
            Route("/calls", platform.calls),
            *weight_routes(WeightStore()),
            Route("/faults", platform.set_faults, methods=["POST"]),
        ]
    )


def _object_key(request: Request) -> tuple[str, str]:
    return request.path_params["kind"], request.path_params["name"]


def _render(kind: str, name: str, found: tuple[int, Any] | None) -> Response:
    if found is None:
        return Response(status_code=404)
    version, value = found
    return JSONResponse(
        {"kind": kind, "name": name, "version": version, "value": value}
    )
