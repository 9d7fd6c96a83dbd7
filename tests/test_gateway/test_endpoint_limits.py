"""Tests of endpoints that name a limit on requests a second in their answers."""

from __future__ import annotations

import itertools
import socket
import time
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.fleet.statements import Notice
from agatehoist.gateway.peer_reports import exchange_peer_reports
from agatehoist.protocol.datagrams import ENDPOINT_NOTICES, datagram_kind
from agatehoist.protocol.endpoint_notices import decode_notices, encode_notices
from agatehoist.protocol.node_reports import endpoint_key
from standins.fleet import free_ports
from standins.users_platform.harness import GatewayHarness, running_gateway
from standins.users_platform.loopback import HOST
from standins.users_platform.prompts import PromptCaller
from tests.test_gateway.test_crashing_parts_fleet import GATEWAYS, running_gateways

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from agatehoist.http1.types import Reply
    from standins.users_platform.endpoint import EndpointStandIn

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# An endpoint bears one and a half times its limit in a window, and 5 requests more,
# from half a second after its first answer that names the limit.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
KNOWN_AFTER_S = 0.5
TOLD_WITHIN_S = 1.5
AT_ONCE_S = 0.3


def most_in_window(endpoint: EndpointStandIn, since: float) -> int:
    """Return the most arrivals at an endpoint in a window after a time."""
    times = [each for each in endpoint.arrivals if each >= since]
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


async def ask_often(
    caller: PromptCaller, ports: list[int], period_s: float, interval_s: float
) -> None:
    """Send requests to ports in turn, whatever the time that answers take."""
    until = time.monotonic() + period_s
    async with anyio.create_task_group() as task_group:
        for number, port in enumerate(itertools.cycle(ports)):
            if time.monotonic() >= until:
                break
            task_group.start_soon(caller.ask, (f"part-{number % 7}",), port)
            await anyio.sleep(interval_s)


class FleetTests(unittest.TestCase):
    def test_gateways_together_keep_and_use_the_limits_of_all_endpoints(self) -> None:
        world = GatewayHarness()
        caller = PromptCaller(world, "/credit/1")
        named_at: list[float] = []

        async def run() -> None:
            async with running_gateways(world) as gateways:
                ports = [gateways.fleet.ports_by_name[each] for each in GATEWAYS]
                named_at.append(time.monotonic())
                for each in world.engines:
                    each.limit_per_s = LIMIT_PER_S
                await ask_often(caller, ports, 8.0, 0.03)

        anyio.run(run)
        since = named_at[0] + KNOWN_AFTER_S
        most = max(most_in_window(each, since) for each in world.engines)
        self.assertLessEqual(most, ALLOWED)
        for each in world.engines:
            self.assertGreaterEqual(len(each.arrivals), 0.7 * 8.0 * LIMIT_PER_S)
        refused = [each for each in caller.results if each.status == 503]
        self.assertEqual({each.status for each in caller.results}, {200, 503})
        self.assertTrue(all(each.retry_after for each in refused))
        self.assertLess(sorted(e.took_s for e in refused)[len(refused) // 2], AT_ONCE_S)


class OneGatewayTests(unittest.TestCase):
    # Requests that reach the limited application only because the other one failed or
    # turned them away.
    @parameterized.expand([("failed", "fail"), ("turned_away", "shed")])
    def test_retries_count_against_the_limit(self, _name: str, fault: str) -> None:
        world = GatewayHarness()
        failing, limited = world.applications
        failing.faults = [fault] * 1000
        limited.limit_per_s = LIMIT_PER_S

        async def run() -> None:
            async with running_gateway(world):
                for _ in range(100):
                    await world.ask("/look/1")
                    await anyio.sleep(0.02)

        anyio.run(run)
        self.assertLessEqual(most_in_window(limited, 0.0), ALLOWED)
        self.assertGreaterEqual(len(limited.arrivals), 3)

    def test_moved_runs_count_against_the_limit(self) -> None:
        world = GatewayHarness(2)
        source, limited = world.engines
        for each in world.engines:
            each.event_count = 80

        async def run() -> None:
            async with running_gateway(world):
                limited.limit_per_s = LIMIT_PER_S
                note_limit(world, limited)
                # The only node has the whole retry budget for moves.
                world.state.set_nodes(frozenset({world.state.settings.inner}))
                since = time.monotonic()
                async with anyio.create_task_group() as task_group:
                    for number in range(50):
                        headers = {"x_agatehoist_request_id": f"m{number}"}
                        task_group.start_soon(
                            lambda h=headers: world.ask_prompt("/trace/1", **h)
                        )
                    await anyio.sleep(0.3)
                    world.list_endpoint(source, State="draining")
                self.assertLessEqual(most_in_window(limited, since), ALLOWED)

        anyio.run(run)
        self.assertGreaterEqual(len(limited.continued_runs), 1)

    def test_caller_is_refused_at_once_while_all_endpoints_are_at_their_limits(
        self,
    ) -> None:
        world = GatewayHarness()
        for each in world.applications:
            each.limit_per_s = 0.5
        replies: list[tuple[Reply, float]] = []

        async def run() -> None:
            async with running_gateway(world):
                for _ in range(20):
                    began_at = time.monotonic()
                    reply = await world.ask("/post/1", "POST")
                    replies.append((reply, time.monotonic() - began_at))

        anyio.run(run)
        refused = [each for each in replies if each[0].head.status == 503]
        self.assertGreaterEqual(len(refused), 10)
        for reply, took_s in refused:
            self.assertLess(took_s, AT_ONCE_S)
            # Callers follow a time of at most a third of what they have left.
            retry_after_s = float(reply.head.value(b"retry-after") or b"nan")
            self.assertLessEqual(retry_after_s, 1.5 / 3)
        self.assertEqual(
            len(world.runs()), sum(r.head.status == 200 for r, _ in replies)
        )

    def test_endpoint_whose_limit_has_ended_gets_all_requests_again(self) -> None:
        world = GatewayHarness(1)

        async def run() -> list[int]:
            async with running_gateway(world):
                world.engines[0].limit_per_s = LIMIT_PER_S
                for _ in range(10):
                    await world.ask_prompt("/credit/1")
                world.engines[0].limit_per_s = None
                await anyio.sleep(1.0)
                replies = [await world.ask_prompt("/credit/1") for _ in range(10)]
                return [each.head.status for each in replies]

        self.assertEqual(anyio.run(run), [200] * 10)


class PeerTests(unittest.TestCase):
    def test_gateway_without_an_answer_learns_of_a_limit_from_a_peer(self) -> None:
        world = GatewayHarness()

        async def run() -> float | None:
            async with gateway_with_peer(world) as (sock, own):
                state = world.state
                (key, *_others) = keys_of(world)
                now = state.clock.now()
                data = encode_notices([Notice(key, 1.5, False, now)], now)
                sock.sendto(data, (own.host, own.port))
                await anyio.sleep(0.1)
                return state.statements.limit_per_s(key, state.clock.now())

        self.assertEqual(anyio.run(run), 1.5)

    def test_gateway_tells_its_peers_of_a_limit(self) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.limit_per_s = LIMIT_PER_S

        async def run() -> list[Notice]:
            async with gateway_with_peer(world) as (sock, _own):
                await world.ask_prompt("/credit/1")
                with anyio.fail_after(TOLD_WITHIN_S):
                    while True:
                        await anyio.wait_readable(sock)
                        data = sock.recv(2000)
                        if datagram_kind(data) == ENDPOINT_NOTICES:
                            return list(decode_notices(data, 0.0))

        (notice,) = anyio.run(run)
        self.assertEqual(notice.limit_per_s, LIMIT_PER_S)


def note_limit(world: GatewayHarness, endpoint: EndpointStandIn) -> None:
    """Let the gateway know the limit of an endpoint."""
    now = world.state.clock.now()
    key = endpoint_key(world.state.fleet.by_name[endpoint.name].lifetime)
    world.state.statements.accept(Notice(key, endpoint.limit_per_s, False, now), now)


def keys_of(world: GatewayHarness) -> list[bytes]:
    """Return the keys of the engines, as datagrams name them."""
    by_name = world.state.fleet.by_name
    return [endpoint_key(by_name[each.name].lifetime) for each in world.engines]


@asynccontextmanager
async def gateway_with_peer(
    world: GatewayHarness,
) -> AsyncIterator[tuple[socket.socket, Address]]:
    """Run a gateway with a peer; yield the peer's socket and the gateway's address."""
    async with running_gateway(world), anyio.create_task_group() as task_group:
        own, other = (Address(HOST, each) for each in free_ports(2))
        world.state.settings = replace(world.state.settings, inner=own)
        world.state.set_nodes(frozenset({own, other}))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((other.host, other.port))
            task_group.start_soon(exchange_peer_reports, world.state)
            await anyio.sleep(0.1)
            yield sock, own
            task_group.cancel_scope.cancel()
