"""Tests of authentication between processes with shared keys."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

import anyio
from anyio.streams.stapled import StapledObjectStream
from parameterized import parameterized

from agatehoist.protocol.authentication import Challenge, Greeting, KeyRing, Proof, Side
from agatehoist.protocol.codec import Decoder, encode
from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import (
    AuthenticationError,
    BadFrameError,
    ProtocolError,
)
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello

OLD = "o" * 32
NEW = "n" * 32
ROUTER = Hello(PROTOCOL_VERSION, "router-0", "r1", 3)
SIDECAR = Hello(PROTOCOL_VERSION, "sidecar-0", "s1", 0)

CASES: list[tuple[str, list[str], list[str], bool]] = [
    ("same", [OLD], [OLD], True),
    ("none", [], [], True),
    ("router_has_the_new_key_first", [NEW, OLD], [OLD], False),
    ("both_accept_both", [NEW, OLD], [OLD, NEW], True),
    ("router_signs_with_the_old_key", [OLD, NEW], [NEW, OLD], True),
    ("key_added", [OLD], [OLD, NEW], True),
    ("key_removed", [NEW, OLD], [NEW], True),
    ("other", [OLD], [NEW], False),
    ("router_has_none", [], [OLD], False),
    ("sidecar_has_none", [OLD], [], False),
]


def open_connection_pair() -> tuple[Connection, Connection]:
    """Return two connections over one stream in memory."""
    return tuple(Connection(each) for each in open_stream_pair())  # type: ignore[return-value]


def open_stream_pair() -> tuple[Any, Any]:
    """Return the two ends of a byte stream in memory."""
    first_send, second_receive = anyio.create_memory_object_stream[bytes](16)
    second_send, first_receive = anyio.create_memory_object_stream[bytes](16)
    return (
        _Pipe(first_send, first_receive),
        _Pipe(second_send, second_receive),
    )


class _Pipe(StapledObjectStream[bytes]):
    async def receive(self, _max_bytes: int = 65536) -> bytes:
        return await super().receive()


async def run_handshake(router_keys: list[str], sidecar_keys: list[str]) -> list[str]:
    """Return the outcome at the router and at the sidecar."""
    router, sidecar = open_connection_pair()
    outcomes = {"router": "", "sidecar": ""}

    async def handshake_side(
        name: str, connection: Connection, hello: Hello, side: Side, keys: list[str]
    ) -> None:
        try:
            peer = await connection.handshake(hello, side, KeyRing(keys))
            outcomes[name] = peer.node
        except ProtocolError as error:
            outcomes[name] = type(error).__name__
        if outcomes[name].endswith("Error"):
            await connection.aclose()

    async with anyio.create_task_group() as task_group:
        for each in (
            ("router", router, ROUTER, Side.CLIENT, router_keys),
            ("sidecar", sidecar, SIDECAR, Side.SERVER, sidecar_keys),
        ):
            task_group.start_soon(handshake_side, *each)
    return [outcomes["router"], outcomes["sidecar"]]


class HandshakeTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_only_proved_keys_are_accepted(
        self, _name: str, router: list[str], sidecar: list[str], accepted: bool
    ) -> None:
        outcomes = anyio.run(run_handshake, router, sidecar)
        if accepted:
            self.assertEqual(outcomes, ["sidecar-0", "router-0"])
        else:
            self.assertIn(AuthenticationError.__name__, outcomes)
            self.assertTrue(all(each.endswith("Error") for each in outcomes), outcomes)

    @parameterized.expand(
        [
            ("reflected", lambda peers_challenge: peers_challenge),
            ("short", lambda _peers_challenge: Challenge(b"x")),
            ("empty", lambda _peers_challenge: Challenge(b"")),
        ]
    )
    def test_invalid_challenge_is_rejected(self, _name: str, make_reply: Any) -> None:
        async def scenario() -> None:
            stream, peer_end = open_stream_pair()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(reply_to_challenge, peer_end, make_reply)
                with self.assertRaises(AuthenticationError):
                    await Connection(stream).handshake(
                        SIDECAR, Side.SERVER, KeyRing([OLD])
                    )

        anyio.run(scenario)

    def test_proof_is_valid_only_for_its_side_and_greetings(self) -> None:
        keys = KeyRing([OLD])
        client = _greeting(ROUTER, keys)
        server = _greeting(SIDECAR, keys)
        proof = keys.prove(Side.CLIENT, client, server)
        keys.verify(proof, Side.CLIENT, client, server)
        altered = [
            (Side.SERVER, client, server),
            (Side.CLIENT, server, client),
            (Side.CLIENT, _greeting(ROUTER, keys), server),
            (Side.CLIENT, client, _greeting(SIDECAR, keys)),
            (Side.CLIENT, _with_other_node(client), server),
            (Side.CLIENT, client, _with_other_node(server)),
        ]
        for each in altered:
            with self.assertRaises(AuthenticationError):
                keys.verify(proof, *each)

    def test_server_sends_no_proof_to_unauthenticated_peer(self) -> None:
        async def scenario() -> None:
            stream, peer_end = open_stream_pair()
            received = bytearray()

            async def attack() -> None:
                await peer_end.send(encode(ROUTER))
                await peer_end.send(encode(Challenge(b"z" * 32)))
                await peer_end.send(encode(Proof(b"y" * 32)))
                with anyio.move_on_after(1):
                    while True:
                        received.extend(await peer_end.receive())

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(attack)
                connection = Connection(stream)
                with self.assertRaises(AuthenticationError):
                    await connection.handshake(SIDECAR, Side.SERVER, KeyRing([OLD]))
                task_group.cancel_scope.cancel()
            kinds = [type(each) for each in Decoder().feed(bytes(received))]
            self.assertEqual(kinds, [Hello, Challenge])

        anyio.run(scenario)

    @parameterized.expand([(4096, True), (200_000, True), (100, False)])
    def test_handshake_frames_are_limited(self, size: int, exceeds_limit: bool) -> None:
        async def scenario() -> None:
            stream, peer_end = open_stream_pair()
            await peer_end.send(
                encode(Hello(PROTOCOL_VERSION, "x" * size, "i", 0))[:-1]
            )
            await peer_end.send_stream.aclose()
            with self.assertRaises(ProtocolError) as caught:
                await Connection(stream).handshake(SIDECAR, Side.SERVER)
            self.assertEqual(isinstance(caught.exception, BadFrameError), exceeds_limit)

        anyio.run(scenario)


async def reply_to_challenge(stream: Any, make_reply: Any) -> None:
    """Send a router's hello and reply to the challenge with a given one."""
    await stream.send(encode(ROUTER))
    decoder = Decoder()
    while True:
        for message in decoder.feed(await stream.receive()):
            if isinstance(message, Challenge):
                await stream.send(encode(make_reply(message)))
                return


def _with_other_node(greeting: Greeting) -> Greeting:
    return replace(greeting, hello=replace(greeting.hello, node="other"))


def _greeting(hello: Hello, keys: KeyRing) -> Any:
    return Greeting(hello, keys.challenge())
