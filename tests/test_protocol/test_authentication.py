"""Tests of the proof of shared keys between processes."""

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


def open_pair() -> tuple[Connection, Connection]:
    """Return two connections that talk to each other."""
    return tuple(Connection(each) for each in open_streams())  # type: ignore[return-value]


def open_streams() -> tuple[Any, Any]:
    """Return the two ends of a byte stream in memory."""
    one_sends, other_receives = anyio.create_memory_object_stream[bytes](16)
    other_sends, one_receives = anyio.create_memory_object_stream[bytes](16)
    return (
        _Pipe(one_sends, one_receives),
        _Pipe(other_sends, other_receives),
    )


class _Pipe(StapledObjectStream[bytes]):
    async def receive(self, _max_bytes: int = 65536) -> bytes:
        return await super().receive()


async def shake_hands(router_keys: list[str], sidecar_keys: list[str]) -> list[str]:
    """Return the outcome at the router and at the sidecar."""
    router, sidecar = open_pair()
    outcomes = {"router": "", "sidecar": ""}

    async def shake(
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
            task_group.start_soon(shake, *each)
    return [outcomes["router"], outcomes["sidecar"]]


class HandshakeTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_keys(
        self, _name: str, router: list[str], sidecar: list[str], accepted: bool
    ) -> None:
        outcomes = anyio.run(shake_hands, router, sidecar)
        if accepted:
            self.assertEqual(outcomes, ["sidecar-0", "router-0"])
        else:
            self.assertIn(AuthenticationError.__name__, outcomes)
            self.assertTrue(all(each.endswith("Error") for each in outcomes), outcomes)

    @parameterized.expand(
        [
            ("reflected", lambda mine: mine),
            ("short", lambda _mine: Challenge(b"x")),
            ("empty", lambda _mine: Challenge(b"")),
        ]
    )
    def test_challenge_is_refused(self, _name: str, answer: Any) -> None:
        async def main() -> None:
            stream, far = open_streams()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(answer_challenge, far, answer)
                with self.assertRaises(AuthenticationError):
                    await Connection(stream).handshake(
                        SIDECAR, Side.SERVER, KeyRing([OLD])
                    )

        anyio.run(main)

    def test_reflected_proof_is_refused(self) -> None:
        keys = KeyRing([OLD])
        client = _greeting(ROUTER, keys)
        server = _greeting(SIDECAR, keys)
        proof = keys.prove(Side.CLIENT, client, server)
        keys.verify(proof, Side.CLIENT, client, server)
        others = [
            (Side.SERVER, client, server),
            (Side.CLIENT, server, client),
            (Side.CLIENT, _greeting(ROUTER, keys), server),
            (Side.CLIENT, client, _greeting(SIDECAR, keys)),
            (Side.CLIENT, _renamed(client), server),
            (Side.CLIENT, client, _renamed(server)),
        ]
        for each in others:
            with self.assertRaises(AuthenticationError):
                keys.verify(proof, *each)

    def test_server_proves_nothing_to_a_stranger(self) -> None:
        async def main() -> None:
            stream, far = open_streams()
            received = bytearray()

            async def attack() -> None:
                await far.send(encode(ROUTER))
                await far.send(encode(Challenge(b"z" * 32)))
                await far.send(encode(Proof(b"y" * 32)))
                with anyio.move_on_after(1):
                    while True:
                        received.extend(await far.receive())

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(attack)
                connection = Connection(stream)
                with self.assertRaises(AuthenticationError):
                    await connection.handshake(SIDECAR, Side.SERVER, KeyRing([OLD]))
                task_group.cancel_scope.cancel()
            kinds = [type(each) for each in Decoder().feed(bytes(received))]
            self.assertEqual(kinds, [Hello, Challenge])

        anyio.run(main)

    @parameterized.expand([(4096, True), (200_000, True), (100, False)])
    def test_frames_before_the_proof_are_small(self, size: int, refused: bool) -> None:
        async def main() -> None:
            stream, far = open_streams()
            await far.send(encode(Hello(PROTOCOL_VERSION, "x" * size, "i", 0))[:-1])
            await far.send_stream.aclose()
            with self.assertRaises(ProtocolError) as caught:
                await Connection(stream).handshake(SIDECAR, Side.SERVER)
            self.assertEqual(isinstance(caught.exception, BadFrameError), refused)

        anyio.run(main)


async def answer_challenge(stream: Any, answer: Any) -> None:
    """Say hello as a router and answer a challenge with another."""
    await stream.send(encode(ROUTER))
    decoder = Decoder()
    while True:
        for message in decoder.feed(await stream.receive()):
            if isinstance(message, Challenge):
                await stream.send(encode(answer(message)))
                return


def _renamed(greeting: Greeting) -> Greeting:
    return replace(greeting, hello=replace(greeting.hello, node="other"))


def _greeting(hello: Hello, keys: KeyRing) -> Any:
    return Greeting(hello, keys.challenge())
