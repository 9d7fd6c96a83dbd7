"""A gateway with its platform in one process, for tests."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.gateway.ingress import Ingress
from agatehoist.gateway.settings import GatewaySettings, RetryBounds
from agatehoist.gateway.state import GatewayState
from agatehoist.gateway.store_watch import follow_store
from agatehoist.gateway.weights_rollout import roll_out_weights
from agatehoist.http1.types import RequestHead
from agatehoist.platform.adapter import UsersPlatform
from agatehoist.platform.store import PlatformStore
from standins.users_platform.endpoint import EndpointStandIn
from standins.users_platform.serving import HOST, exchange, listening
from standins.users_platform.store import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from agatehoist.http1.types import Reply

MODEL = "songs-large"
ENGINES, APPLICATION = "engines", "application"
KEY = "key-of-the-crew"
WAIT_S = 20.0


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operators write it."""
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 100,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": service == ENGINES,
        "Resumable": False,
        "TargetGapMs": 100,
        **fields,
    }


def configuration(version: int = 3, **fields: Any) -> dict[str, Any]:
    """Return a configuration as the operators write it."""
    return {
        "Version": version,
        "Routes": [
            route("look", "idempotent", APPLICATION),
            route("post", "non_idempotent", APPLICATION, MaxAttempts=1),
            route("trace", "stream", ENGINES, Resumable=True),
            route("credit", "stream", ENGINES, MaxAttempts=1),
        ],
        "Services": [
            {
                "Name": ENGINES,
                "Engine": {
                    "Slots": 8,
                    "KvCapacity": 9,
                    "Moves": True,
                    "Models": [{"Name": MODEL}],
                },
            },
            {"Name": APPLICATION},
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 500,
            "IdleTimeoutMs": 2000,
        },
        "Tenants": [{"Name": "crew", "ApiKeys": [KEY], "Isolated": True}],
        **fields,
    }


def settings(store_port: int, node: str = "n1") -> GatewaySettings:
    """Return the settings of a gateway on loopback."""
    nowhere = Address(HOST, 1)
    return GatewaySettings(
        node=node,
        data_centre="z1",
        front=nowhere,
        ready=nowhere,
        inner=nowhere,
        store=Address(HOST, store_port),
        seeds=(),
        stop_grace_s=8.0,
        order_turn_s=3.0,
        weights_in_force_s=8.0,
        retries=RetryBounds(0.2, 100.0, 10.0),
    )


class World:
    """Hold the parts of one gateway's surroundings."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.store.put("config", "main", configuration())
        self.engines = [
            EndpointStandIn(f"engine-{index}", ENGINES, MODEL) for index in range(3)
        ]
        for engine in self.engines:
            engine.handles = self.engines[0].handles
        self.applications = [
            EndpointStandIn(f"application-{index}", APPLICATION) for index in range(2)
        ]
        self.state: GatewayState
        self.port = 0

    def endpoints(self) -> list[EndpointStandIn]:
        """Return all endpoints."""
        return [*self.engines, *self.applications]

    def runs(self) -> list[str]:
        """Return the ids of all requests that have run, with repeats."""
        return [run.request_id for each in self.endpoints() for run in each.runs]

    async def ask(
        self, path: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Reply:
        """Send a request as a caller and return the whole answer.

        Raises ConnectionFailedError if the answer is broken off.
        """
        given = {"host": "a.example", "x-agatehoist-request-id": "r1", "api-key": KEY}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body or method == "POST":
            given["content-length"] = str(len(body))
        head = RequestHead(
            method.encode(),
            path.encode(),
            tuple((name.encode(), value.encode()) for name, value in given.items()),
        )
        with anyio.fail_after(WAIT_S):
            return await exchange(self.port, head, body)

    async def ask_prompt(self, path: str, **headers: str) -> Reply:
        """Send a request with a prompt."""
        prompt = {
            "x_agatehoist_model_name": MODEL,
            "x_agatehoist_token_count": "130,5",
            "x_agatehoist_prompt_prefix": "aa:100,bb:30",
        }
        return await self.ask(path, "POST", b"{}", **{**prompt, **headers})


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises TimeoutError.
    """
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


@asynccontextmanager
async def surroundings(world: World) -> AsyncIterator[int]:
    """Run the store and the endpoints; give the port of the store."""
    async with AsyncExitStack() as stack:
        for endpoint in world.endpoints():
            port = await stack.enter_async_context(listening(endpoint.serve))
            world.store.put("servers", endpoint.name, endpoint.entry(port))
        yield await stack.enter_async_context(listening(world.store.serve))


@asynccontextmanager
async def running(world: World, keeps_weights: bool = False) -> AsyncIterator[None]:
    """Run a gateway in the world while the context lasts."""
    async with AsyncExitStack() as stack:
        store_port = await stack.enter_async_context(surroundings(world))
        task_group = await stack.enter_async_context(anyio.create_task_group())
        clock = SystemClock()
        own = settings(store_port)
        store = PlatformStore(own.store, clock)
        world.state = GatewayState(own, clock, UsersPlatform(), store, task_group, 0.0)
        task_group.start_soon(follow_store, world.state)
        if keeps_weights:
            task_group.start_soon(roll_out_weights, world.state)
        ingress = Ingress(world.state)
        world.port = await stack.enter_async_context(listening(ingress.serve))
        await until(lambda: world.state.ready)
        yield
        task_group.cancel_scope.cancel()
