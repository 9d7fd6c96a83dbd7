"""Tests of the checks on every request."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.configuration import FleetConfiguration, Organisation
from agatehoist.configuration.keys import KeyIndex, digest_key
from agatehoist.core.byte_budget import ByteBudget
from agatehoist.core.clock import ManualClock
from agatehoist.core.inflight import InFlightCounter
from agatehoist.frontend import access
from agatehoist.refusals import RequestRefusedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

    from agatehoist.router.state import RouterState

CONFIGURATION = FleetConfiguration(
    organisations_by_name={
        "archive": Organisation((digest_key("old"), digest_key("new"))),
        "cooperative": Organisation((digest_key("other"),)),
    }
)


def make_state(budget_bytes: int = 1000) -> RouterState:
    """Return a stub with the parts of a router's state that the checks use."""
    state = SimpleNamespace(
        key_index=KeyIndex(CONFIGURATION),
        body_budget=ByteBudget(budget_bytes),
        clock=ManualClock(5.0),
        in_flight=InFlightCounter(),
        ready=True,
    )
    return cast("RouterState", state)


class FakeRequest:
    """Yield a body in chunks of 100 bytes, each after a delay."""

    def __init__(self, chunks: int, delay_s: float = 0.0) -> None:
        self._chunks = chunks
        self._delay_s = delay_s

    async def stream(self) -> AsyncIterator[bytes]:
        for _ in range(self._chunks):
            await anyio.sleep(self._delay_s)
            yield b"x" * 100


async def read_bodies(state: RouterState, *requests: FakeRequest) -> list[Any]:
    """Read bodies concurrently; return the length or the refusal code of each."""
    outcomes: list[Any] = [None] * len(requests)

    async def read_one(index: int, request: FakeRequest) -> None:
        try:
            body = await access.read_body(state, cast("Request", request))
            outcomes[index] = len(body)
        except RequestRefusedError as error:
            outcomes[index] = error.refusal.code

    async with anyio.create_task_group() as task_group:
        for index, each in enumerate(requests):
            task_group.start_soon(read_one, index, each)
    return outcomes


class AccessTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("Bearer old", "archive"),
            ("bearer  new ", "archive"),
            ("Bearer other", "cooperative"),
            ("Bearer OTHER", "invalid_api_key"),
            ("Bearer ", "invalid_api_key"),
            (f"Bearer {digest_key('other')}", "invalid_api_key"),
            ("Basic other", "missing_key"),
            ("", "missing_key"),
        ]
    )
    def test_key_gives_the_organisation_or_is_refused(
        self, header: str, expected: str
    ) -> None:
        request = SimpleNamespace(headers={"authorization": header})
        try:
            found = access.authenticate(make_state(), cast("Request", request))
        except RequestRefusedError as error:
            found = error.refusal.code
        self.assertEqual(found, expected)

    def test_key_indexes_use_different_tags(self) -> None:
        first, second = KeyIndex(CONFIGURATION), KeyIndex(CONFIGURATION)
        self.assertFalse(set(first._names_by_tag) & set(second._names_by_tag))

    def test_key_index_follows_the_configuration(self) -> None:
        index = KeyIndex(CONFIGURATION)
        changed_organisations = {
            "archive": Organisation((digest_key("new"),)),
            "third": Organisation((digest_key("other"),)),
        }
        index.update(FleetConfiguration(organisations_by_name=changed_organisations))
        found = [index.organisation_of(key) for key in ("old", "new", "other")]
        self.assertEqual(found, [None, "archive", "third"])

    @parameterized.expand(
        [
            ("whole", [FakeRequest(3)], 1000, [300]),
            ("too_large", [FakeRequest(7)], 1000, ["body_too_large"]),
            ("slow", [FakeRequest(3, 0.1)], 1000, ["body_timeout"]),
            (
                "too_many",
                [FakeRequest(3, 0.001), FakeRequest(3, 0.001)],
                350,
                [300, "router_busy"],
            ),
        ]
    )
    def test_body_limits(
        self, _name: str, requests: list[FakeRequest], budget: int, expected: list[Any]
    ) -> None:
        state = make_state(budget)
        with (
            mock.patch.object(access, "MAX_BODY_BYTES", 600),
            mock.patch.object(access, "BODY_TIMEOUT_S", 0.15),
        ):
            outcomes = anyio.run(read_bodies, state, *requests)
        self.assertCountEqual(outcomes, expected)
        self.assertEqual(state.body_budget.held_bytes, 0)

    @parameterized.expand([(2, 3, None), (3, 3, "router_busy")])
    def test_limit_on_requests_in_flight(
        self, count: int, limit: int, expected: str | None
    ) -> None:
        state = make_state()
        state.in_flight.count = count
        code = None
        with mock.patch.object(access, "MAX_REQUESTS_IN_FLIGHT", limit):
            try:
                access.require_ready_and_below_limit(state)
            except RequestRefusedError as error:
                code = error.refusal.code
        self.assertEqual(code, expected)
