"""Test harness: a gateway and stand-ins for its platform in one process."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.gateway.ingress import Ingress
from agatehoist.gateway.settings import GatewaySettings, RetryBounds
from agatehoist.gateway.state import GatewayState
from agatehoist.gateway.store_watch import follow_store
from agatehoist.gateway.tasks import run_with_restarts
from agatehoist.gateway.weights_rollout import roll_out_weights
from agatehoist.http1.types import RequestHead
from agatehoist.platform.adapter import UsersPlatform
from agatehoist.platform.store import PlatformStore
from agatehoist.software.share_writer import write_shares
from standins.users_platform.endpoint import EndpointStandIn, RequestIdentity
from standins.users_platform.endpoint_listener import run_endpoint
from standins.users_platform.kv_cache import KvNetwork, PartMemory
from standins.users_platform.loopback import HOST, listen_on_loopback, send_request
from standins.users_platform.store import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from agatehoist.http1.types import Reply

MODEL = "songs-large"
ENGINES, APPLICATION = "engines", "application"
API_KEY = "key-of-the-crew"
TIMEOUT_S = 20.0
# Nothing listens there: the engines reach the KV store through the KvNetwork.
KV_STORE = "127.0.0.1:9"


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the format of the operators' configuration."""
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


def configuration(
    version: int = 3, models: tuple[str, ...] = (MODEL,), **fields: Any
) -> dict[str, Any]:
    """Return a configuration in the operators' format."""
    return {
        "Version": version,
        "Routes": [
            # "trace" is a stream that may be resumed, "credit" one that may not.
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
                    "KvCapacity": 90_000,
                    "Moves": True,
                    "Models": [{"Name": model} for model in models],
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
        "Tenants": [{"Name": "crew", "ApiKeys": [API_KEY], "Isolated": True}],
        **fields,
    }


def settings(store_port: int, node: str = "n1") -> GatewaySettings:
    """Return the settings of a gateway on loopback."""
    # The harness accepts callers on a port of its own and runs no other listener.
    unused_address = Address(HOST, 1)
    return GatewaySettings(
        node=node,
        data_centre="z1",
        front=unused_address,
        ready=unused_address,
        inner=unused_address,
        store=Address(HOST, store_port),
        seeds=(),
        stop_grace_s=8.0,
        order_turn_s=3.0,
        weights_in_force_s=8.0,
        retries=RetryBounds(0.2, 100.0, 10.0),
    )


class GatewayHarness:
    """Hold a gateway's state and port, and the stand-ins that it works with."""

    def __init__(
        self, engine_count: int = 3, models: tuple[str, ...] = (MODEL,)
    ) -> None:
        self.store = StoreStandIn()
        self.store.put("config", "main", configuration(models=models))
        self.engines = [
            EndpointStandIn(f"engine-{index}", ENGINES, MODEL)
            for index in range(engine_count)
        ]
        for engine in self.engines:
            engine.versions_by_other_model = dict.fromkeys(models[1:], 1)
        self.deadly_parts: set[str] = set()
        # A deadly part crashes any engine.
        for engine in self.engines:
            engine.deadly_parts = self.deadly_parts
        self.deadly_requests: set[RequestIdentity] = set()
        self.kv_network = KvNetwork()
        self.kv_store = PartMemory()
        self.kv_network.parts_by_address[KV_STORE] = self.kv_store
        self.applications = [
            EndpointStandIn(f"application-{index}", APPLICATION) for index in range(2)
        ]
        # Callers read nothing for this time after they have sent a request.
        self.caller_pause_s = 0.0
        # A deadly request crashes any endpoint.
        for endpoint in self.endpoints():
            endpoint.deadly_requests = self.deadly_requests
        self.state: GatewayState
        self.port = 0

    def endpoints(self) -> list[EndpointStandIn]:
        """Return all endpoints."""
        return [*self.engines, *self.applications]

    def publish_endpoint(self, endpoint: EndpointStandIn, port: int) -> None:
        """Connect an endpoint that has just started, and write its store entry."""
        endpoint.listen_at(port, self.kv_network)
        self.list_endpoint(endpoint)

    def list_endpoint(self, endpoint: EndpointStandIn, **fields: Any) -> None:
        """Write the entry of an endpoint to the store, with some fields replaced."""
        entry = {**endpoint.entry(endpoint.port), **fields}
        self.store.put("servers", endpoint.name, entry)

    def runs(self) -> list[str]:
        """Return the ids of all requests that ran, one for each run."""
        return [run.request_id for each in self.endpoints() for run in each.runs]

    def runs_with_part(self, part: str, since: float) -> int:
        """Return how many runs on a part, not as their last, began after a time."""
        return sum(
            run.received_at > since and run.holds_part({part})
            for each in self.engines
            for run in (*each.runs, *each.continued_runs)
        )

    async def ask(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        port: int = 0,
        **headers: str,
    ) -> Reply:
        """Send a request as a caller and return the complete reply.

        Without a port, it goes to the harness's gateway.

        Raises ConnectionFailedError if the connection ends before the reply does.
        """
        header_values = {
            "host": "a.example",
            "x-agatehoist-request-id": "r1",
            "api-key": API_KEY,
        }
        header_values |= {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if body or method == "POST":
            header_values["content-length"] = str(len(body))
        head = RequestHead(
            method.encode(),
            path.encode(),
            tuple(
                (name.encode(), value.encode()) for name, value in header_values.items()
            ),
        )
        with anyio.fail_after(TIMEOUT_S):
            return await send_request(
                port or self.port, head, body, self.caller_pause_s
            )

    async def ask_prompt(self, path: str, port: int = 0, **headers: str) -> Reply:
        """Send a request with a prompt and return the complete reply."""
        # Token counts: of the prompt and the answer, and of each prefix part.
        prompt = {
            "x_agatehoist_model_name": MODEL,
            "x_agatehoist_token_count": "130,5",
            "x_agatehoist_prompt_prefix": "aa:100,bb:30",
        }
        return await self.ask(path, "POST", b"{}", port, **{**prompt, **headers})


async def until(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds.

    Raises TimeoutError.
    """
    with anyio.fail_after(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


@asynccontextmanager
async def run_standins(harness: GatewayHarness) -> AsyncIterator[int]:
    """Serve the store and the endpoints, and yield the port of the store."""
    async with AsyncExitStack() as stack:
        for endpoint in harness.endpoints():
            publish = partial(harness.publish_endpoint, endpoint)
            await stack.enter_async_context(run_endpoint(endpoint, publish))
        yield await stack.enter_async_context(listen_on_loopback(harness.store.serve))


@asynccontextmanager
async def serve_gateway(
    store_port: int,
    node: str = "n1",
    rolls_out_weights: bool = False,
) -> AsyncIterator[tuple[GatewayState, int]]:
    """Run a gateway while the context is open; yield its state and its port."""
    async with AsyncExitStack() as stack:
        task_group = await stack.enter_async_context(anyio.create_task_group())
        clock = SystemClock()
        gateway_settings = settings(store_port, node)
        store = PlatformStore(gateway_settings.store, clock)
        state = GatewayState(
            gateway_settings, clock, UsersPlatform(), store, task_group, 0.0
        )
        task_group.start_soon(follow_store, state)
        task_group.start_soon(run_with_restarts, state.lines.run)
        task_group.start_soon(run_with_restarts, write_shares, state)
        task_group.start_soon(run_with_restarts, state.journal.run)
        if rolls_out_weights:
            task_group.start_soon(roll_out_weights, state)
        port = await stack.enter_async_context(listen_on_loopback(Ingress(state).serve))
        await until(lambda: state.ready)
        yield state, port
        task_group.cancel_scope.cancel()


@asynccontextmanager
async def running_gateway(
    harness: GatewayHarness, rolls_out_weights: bool = False
) -> AsyncIterator[None]:
    """Run a gateway with the harness's stand-ins while the context is open."""
    async with (
        run_standins(harness) as store_port,
        serve_gateway(store_port, "n1", rolls_out_weights) as gateway,
    ):
        harness.state, harness.port = gateway
        yield
