"""Tests of the gateway's control calls to endpoints."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING
from unittest.mock import Mock

import anyio

from agatehoist.core.clock import SystemClock
from agatehoist.gateway.endpoint_calls import move_run
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.pool import ConnectionPool
from agatehoist.platform.adapter import UsersPlatform
from agatehoist.platform.documents import read_endpoint
from standins.users_platform.endpoint import EndpointStandIn
from standins.users_platform.loopback import listen_on_loopback

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel

COPY_AFTER_S = 0.05
NEXT_CALL_AFTER_S = 0.01


async def serve_moves_twice(channel: Channel) -> None:
    """Answer each move with a handle that names the run, and again after a pause."""
    try:
        while data := await channel.receive():
            order = json.loads(data.partition(b"\r\n\r\n")[2])
            body = json.dumps({"handle": f"copy-of-{order['Id']}"}).encode()
            length = f"content-length: {len(body)}".encode()
            reply = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + body
            await channel.send(reply)
            await anyio.sleep(COPY_AFTER_S)
            await channel.send(reply)
    except ConnectionFailedError:
        channel.abort()
    finally:
        channel.close()


class MoveTests(unittest.TestCase):
    def test_second_copy_of_a_move_reply_does_not_name_another_run(self) -> None:
        async def run() -> list[str]:
            pool = ConnectionPool(SystemClock())
            state = Mock(pool=pool, platform=UsersPlatform())
            handles = []
            async with listen_on_loopback(serve_moves_twice) as port:
                source = read_endpoint("e", EndpointStandIn("e", "engines").entry(port))
                for request_id in ("r1", "r2"):
                    stopped = await move_run(state, source, request_id, source)
                    assert stopped is not None
                    self.assertTrue(stopped.is_copied)
                    handles.append(stopped.name.partition("/")[2])
                    await anyio.sleep(NEXT_CALL_AFTER_S)
                pool.forget(source.lifetime)
            return handles

        self.assertEqual(anyio.run(run), ["copy-of-r1", "copy-of-r2"])
