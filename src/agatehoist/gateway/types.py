"""Types that pass between the decisions on a request and its transport."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from agatehoist.fleet.types import Endpoint

if TYPE_CHECKING:
    from agatehoist.fleet.types import EndpointReport
    from agatehoist.http1.event_stream import StreamEvent
    from agatehoist.http1.types import (
        Headers,
        Reply,
        ReplyHead,
        Request,
        RequestHead,
    )
    from agatehoist.refusals.types import Refusal
    from agatehoist.routing.types import Envelope, RoutedRequest, RoutingTable
    from agatehoist.weights.types import TargetWeights, WeightsOrder


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Say how a request goes to an endpoint.

    A weights version of 0 is unknown and not checked by the endpoint.
    """

    endpoint: Endpoint
    weights_version: int = 0
    salt: str = ""
    priority: int = 0
    cuttable: bool = False
    fetch_from: str = ""
    save_to: str = ""
    last_event_id: bytes | None = None
    continued_run: str = ""


@dataclass(frozen=True, slots=True)
class ObjectKinds:
    """Name the kinds of object that a gateway follows in the store."""

    configuration: str
    endpoints: str
    weights: str


class Caller(Protocol):
    """Take the answer to one request."""

    async def start(self, head: ReplyHead) -> None:
        """Begin a streamed answer."""

    async def send(self, events: tuple[StreamEvent, ...]) -> None:
        """Pass events on."""

    async def finish(self) -> None:
        """End a streamed answer as complete."""

    async def reply(self, reply: Reply) -> None:
        """Give a whole answer."""

    async def refuse(self, refusal: Refusal) -> None:
        """Give a refusal, or break off an answer that has begun."""


class Platform(Protocol):
    """Translate between the platform's messages and the product's types."""

    kinds: ObjectKinds

    def read_envelope(self, request: Request) -> Envelope:
        """Return what a caller's request says about itself."""

    def dispatched_head(
        self, request: RoutedRequest, dispatch: Dispatch, now: float
    ) -> RequestHead:
        """Return the head that an endpoint gets."""

    def not_executed(self, head: ReplyHead) -> bool:
        """Say whether an endpoint states that it didn't run the request."""

    def answered_id(self, head: ReplyHead) -> str | None:
        """Return the id of the request that an answer belongs to."""

    def weights_version(self, head: ReplyHead) -> int:
        """Return the weights version that an answer names, or 0."""

    def check_success(self, head: ReplyHead) -> None:
        """Check that a success is an endpoint's own."""

    def idle_limit_s(self, head: ReplyHead) -> float | None:
        """Return how long the endpoint keeps an idle connection."""

    def returned_headers(self, head: ReplyHead) -> Headers:
        """Return an endpoint's headers without those of its connection."""

    def refusal_reply(
        self, refusal: Refusal, request_id: str | None, now: float
    ) -> Reply:
        """Return the answer that carries a refusal."""

    def is_ready_check(self, head: RequestHead) -> bool:
        """Say whether a request asks for readiness."""

    def read_configuration(self, name: str, spec: object) -> RoutingTable | None:
        """Return the routing table that an object holds, None for another object."""

    def read_endpoint(self, name: str, spec: object) -> Endpoint:
        """Return the endpoint that an object describes."""

    def read_weights(self, spec: object) -> TargetWeights:
        """Return the weights that an object names."""

    def report_head(self, endpoint: Endpoint) -> RequestHead:
        """Return the request for an engine's report."""

    def read_report(self, reply: Reply) -> EndpointReport:
        """Return what an engine reports."""

    def move_request(
        self, source: Endpoint, request_id: str, destination: Endpoint
    ) -> tuple[RequestHead, bytes]:
        """Return the request that stops a run and copies its memory."""

    def read_move(self, source: Endpoint, reply: Reply) -> str:
        """Return the name under which a stopped run can be gone on with, or none."""

    def order_request(
        self, endpoint: Endpoint, order: WeightsOrder
    ) -> tuple[RequestHead, bytes]:
        """Return the request that orders new weights."""
