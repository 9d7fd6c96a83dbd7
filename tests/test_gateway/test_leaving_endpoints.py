"""Tests of endpoints that say in their answers that they leave."""

from __future__ import annotations

import time
import unittest

import anyio
from parameterized import parameterized

from agatehoist.fleet.statements import Notice
from agatehoist.protocol.endpoint_notices import encode_notices
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from tests.test_gateway.test_endpoint_limits import gateway_with_peer, keys_of

EVENT_COUNT = 60


class LeavingTests(unittest.TestCase):
    # The store still lists the endpoint as ready, or doesn't answer at all.
    @parameterized.expand([("listed_as_ready", False), ("store_is_silent", True)])
    def test_endpoint_that_says_it_leaves_gets_no_more_requests(
        self, _name: str, store_fails: bool
    ) -> None:
        world = GatewayHarness()

        async def run() -> float:
            async with running_gateway(world):
                leaver = world.applications[0]
                leaver.is_leaving = True
                world.store.down = store_fails
                while not leaver.arrivals:
                    await world.ask("/look/1")
                said_at = time.monotonic()
                for _ in range(40):
                    reply = await world.ask("/look/1")
                    self.assertEqual(reply.head.status, 200)
                return said_at

        said_at = anyio.run(run)
        late = [each for each in world.applications[0].arrivals if each > said_at]
        self.assertEqual(late, [])

    def test_requests_are_refused_at_once_if_all_endpoints_say_they_leave(self) -> None:
        world = GatewayHarness()
        for each in world.applications:
            each.is_leaving = True

        async def run() -> list[tuple[int, float]]:
            async with running_gateway(world):
                results = []
                for _ in range(6):
                    began_at = time.monotonic()
                    reply = await world.ask("/post/1", "POST")
                    results.append((reply.head.status, time.monotonic() - began_at))
                return results

        statuses = [status for status, _took_s in anyio.run(run)]
        self.assertEqual(statuses, [200, 200, 503, 503, 503, 503])
        self.assertEqual(len(world.runs()), 2)

    def test_runs_move_from_an_endpoint_that_says_it_leaves(self) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                task_group.start_soon(world.ask_prompt, "/trace/1")
                await until(lambda: any(each.active for each in world.engines))
                (source,) = (each for each in world.engines if each.active)
                source.is_leaving = True
                # The same prompt goes to the same engine.
                await world.ask_prompt("/trace/1", x_agatehoist_request_id="second")

        anyio.run(run)
        self.assertEqual(len([r for e in world.engines for r in e.continued_runs]), 2)

    def test_new_lifetime_of_an_endpoint_that_left_gets_requests(self) -> None:
        world = GatewayHarness(1)

        async def run() -> int:
            async with running_gateway(world):
                (engine,) = world.engines
                engine.is_leaving = True
                await world.ask_prompt("/credit/1")
                engine.is_leaving = False
                engine.restart()
                world.list_endpoint(engine)
                lifetime = f"{engine.name}@{engine.started_ms}"
                fleet = world.state.fleet.by_name
                await until(lambda: fleet[engine.name].lifetime == lifetime)
                return (await world.ask_prompt("/credit/1")).head.status

        self.assertEqual(anyio.run(run), 200)

    def test_gateway_learns_from_a_peer_that_an_endpoint_leaves(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with gateway_with_peer(world) as (sock, own):
                now = world.state.clock.now()
                notices = [Notice(key, None, True, now) for key in keys_of(world)[1:]]
                sock.sendto(encode_notices(notices, now), (own.host, own.port))
                await anyio.sleep(0.1)
                for number in range(8):
                    await world.ask_prompt(
                        "/credit/1", x_agatehoist_prompt_prefix=f"p{number}:100,q:30"
                    )

        anyio.run(run)
        self.assertEqual([len(each.runs) for each in world.engines], [8, 0, 0])
