"""Types shared by request handling, its transport and the platform adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from agatehoist.fleet.types import Endpoint

if TYPE_CHECKING:
    from agatehoist.fleet.statements import Statement
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
    """Hold the parameters with which a request is sent to an endpoint.

    `missing_tokens` are the prompt tokens that the endpoint has to compute, as far as
    this process knows.

    A weights version of 0 is unknown, and the endpoint doesn't check it. The salt is
    that of the KV cache. An interruptible run may be stopped and resumed at another
    endpoint. `continued_run` is the name under which the endpoint continues a moved
    run, if any.
    """

    endpoint: Endpoint
    missing_tokens: int = 0
    weights_version: int = 0
    salt: str = ""
    priority: int = 0
    interruptible: bool = False
    cache_fetch_address: str = ""
    cache_save_address: str = ""
    last_event_id: bytes | None = None
    continued_run: str = ""


@dataclass(frozen=True, slots=True)
class ObjectKinds:
    """Name the kinds of stored object that a gateway watches."""

    configuration: str
    endpoints: str
    weights: str


class ReplyWriter(Protocol):
    """Write the reply to one request."""

    async def start(self, head: ReplyHead) -> None:
        """Start a streamed reply."""

    async def send(self, events: tuple[StreamEvent, ...]) -> None:
        """Send events of a streamed reply."""

    async def finish(self) -> None:
        """End a streamed reply as complete."""

    async def reply(self, reply: Reply) -> None:
        """Send a complete reply."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal, or abort the connection if a reply has started."""


class Platform(Protocol):
    """Translate between the platform's messages and the types of this program."""

    kinds: ObjectKinds

    def request_id(self, head: RequestHead) -> str | None:
        """Return the id of a caller's request, shortened, or None if it has none."""

    def read_envelope(self, request: Request) -> Envelope:
        """Parse a caller's request into an envelope."""

    def dispatched_head(
        self, request: RoutedRequest, dispatch: Dispatch, now: float
    ) -> RequestHead:
        """Return the request head to send to an endpoint."""

    def is_not_executed(self, head: ReplyHead) -> bool:
        """Return whether an endpoint states that it didn't run the request."""

    def answered_request_id(self, head: ReplyHead) -> str | None:
        """Return the request id in a reply, or None if it has none."""

    def weights_version(self, head: ReplyHead) -> int:
        """Return the weights version that a reply states, or 0."""

    def check_success(self, head: ReplyHead) -> None:
        """Check that a successful reply has the stamp that its endpoint wrote it."""

    def read_statement(self, head: ReplyHead, now: float) -> Statement | None:
        """Return what the endpoint says of itself in a reply, None if it isn't its."""

    def idle_limit_s(self, head: ReplyHead) -> float | None:
        """Return the endpoint's keep-alive timeout, or None if it states none."""

    def returned_headers(self, head: ReplyHead) -> Headers:
        """Return an endpoint's headers without the hop-by-hop ones."""

    def refusal_reply(
        self, refusal: Refusal, request_id: str | None, now: float
    ) -> Reply:
        """Return the HTTP reply for a refusal."""

    def is_ready_check(self, head: RequestHead) -> bool:
        """Return whether a request is a readiness check."""

    def read_configuration(self, name: str, spec: object) -> RoutingTable | None:
        """Parse a routing table; return None for an object that isn't one."""

    def read_endpoint(self, name: str, spec: object) -> Endpoint:
        """Parse an endpoint object."""

    def read_weights(self, spec: object) -> TargetWeights:
        """Parse an object that sets the target weights of a model."""

    def report_head(self, endpoint: Endpoint) -> RequestHead:
        """Return the head of the request for an engine's report."""

    def read_report(self, reply: Reply) -> EndpointReport:
        """Parse an engine's report."""

    def move_request(
        self,
        source: Endpoint,
        request_id: str,
        destination: Endpoint,
        stops_run: bool,
    ) -> tuple[RequestHead, bytes]:
        """Return the request that copies the KV cache of a run, or also stops it."""

    def read_move_reply(self, source: Endpoint, reply: Reply) -> str:
        """Return the name with which a run can be continued, or ""."""

    def free_copy_head(self, destination: Endpoint, name: str) -> RequestHead:
        """Return the head of the request that drops the copy of a run."""

    def order_request(
        self, endpoint: Endpoint, order: WeightsOrder
    ) -> tuple[RequestHead, bytes]:
        """Return the request that tells an endpoint to load new weights."""
