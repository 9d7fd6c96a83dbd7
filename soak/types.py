"""Records of the soak: requests, results, changes and violations."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from signal import Signals

from standins.users_platform.endpoint import Crash, RunEnd

# The grace of a planned stop.
GRACE_S = 8.0
USUAL_EVENT_COUNT = 40
EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class DeadlyRequest:
    """Hold a request that crashes endpoints; its path or its body is its own.

    `prompt` is the number of its prompt.
    """

    name: str
    route: str
    method: str
    path: str
    body: bytes
    prompt: int


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Hold a request; times are in seconds of the monotonic clock.

    `sent_at` is the time at which its last bytes were sent. Its gateway has run and
    reached the store without a fault since `fault_free_since`; that is infinite while
    the gateway has a fault. `deadly_part` is the part of its prompt that crashes
    engines, if there is one, and `deadly_request` the name of the deadly request of
    which it is a repetition. Its stream, if it is for one, has `event_count` events. A
    resumption `resumes` the request that brought the first of them, after
    `last_event_id`.
    """

    request_id: str
    route: str
    path_version: int
    gateway: str
    sent_at: float
    fault_free_since: float
    deadly_part: str = ""
    deadly_request: str = ""
    event_count: int = USUAL_EVENT_COUNT
    resumes: str = ""
    last_event_id: int = 0


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Hold the result of a request; the status is 0 if no response head arrived.

    `answered_id` is the request's id as the response states it, if it does.
    `connected_at` is when its connection was opened. It `has_left` if the caller gave
    up before the response, and was not `sent_whole` if the connection ended earlier.
    Its first bytes were sent at `began_at`. The events of a stream name the `software`
    that wrote them, which `body` leaves out. It `is_closing` if the response says that
    the connection ends.
    """

    sent: SentRequest
    status: int
    body: bytes
    complete: bool
    ended_at: float
    answered_id: str = ""
    connected_at: float = 0.0
    has_left: bool = False
    sent_whole: bool = True
    began_at: float = math.inf
    software: tuple[str, ...] = ()
    is_closing: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Hold a configuration's path version and the time of its acknowledgement.

    `timeout_s` is that of all routes but those of streams.
    """

    path_version: int
    acked_at: float
    timeout_s: float = math.inf
    stream_timeout_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Period:
    """Hold a time in which a gateway or an endpoint had a fault or was silent."""

    subject: str
    began_at: float
    ended_at: float

    def overlaps(self, began_at: float, ended_at: float) -> bool:
        """Return whether any time from began_at to ended_at is part of the period."""
        return self.began_at <= ended_at and began_at <= self.ended_at


@dataclass(frozen=True, slots=True)
class Service:
    """Hold when an engine ran a software version and didn't leave."""

    software: str
    period: Period


@dataclass(frozen=True, slots=True)
class LaterSignal:
    """Hold a signal to a process that has already been told to stop."""

    number: Signals
    after_s: float


@dataclass(frozen=True, slots=True)
class StatementPeriod:
    """Hold what an endpoint said of itself in its answers, and for how long.

    `kind` is "limit" or "leaving".
    """

    kind: str
    endpoint: str
    began_at: float
    ended_at: float
    limit_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold the arrival of a request at an endpoint."""

    endpoint: str
    request_id: str
    at: float


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """Hold an order that an endpoint has accepted."""

    at: float
    holder: str
    token: int
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold how a run ended, and at which endpoint."""

    endpoint: str
    end: RunEnd


@dataclass(frozen=True, slots=True)
class EndpointRecords:
    """Hold what endpoints have said and received, and the faults of their paths.

    While it is silent, all bytes to and from an endpoint are held back.
    """

    periods: tuple[StatementPeriod, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    orders: tuple[ReceivedOrder, ...] = ()
    ended_runs: tuple[EndedRun, ...] = ()
    path_faults: tuple[Period, ...] = ()
    silences: tuple[Period, ...] = ()
    services: tuple[Service, ...] = ()
    weights_changes: tuple[Period, ...] = ()


@dataclass(frozen=True, slots=True)
class GatewayRecords:
    """Hold when gateways had faults, and which they were.

    A kill and a planned stop last until the end of the process, and it is down until
    the next one is started.
    """

    faults: tuple[Period, ...] = ()
    kills: tuple[Period, ...] = ()
    stops: tuple[Period, ...] = ()
    suspensions: tuple[Period, ...] = ()
    down: tuple[Period, ...] = ()


@dataclass(frozen=True, slots=True)
class SoakRecord:
    """Hold what was observed while a seed ran.

    `run_ids` has a request's id once for each time that an endpoint ran it;
    `stream` is the complete body of the longest stream; others are its beginning.
    """

    results: Sequence[RequestResult]
    run_ids: Sequence[str]
    changes: Sequence[ConfigurationChange]
    stream: bytes
    crashes: Sequence[Crash] = ()
    endpoints: EndpointRecords = EndpointRecords()
    gateways: GatewayRecords = GatewayRecords()

    def runs_by_id(self) -> defaultdict[str, list[EndedRun]]:
        """Return the runs that have ended by the ids of their requests."""
        by_id: defaultdict[str, list[EndedRun]] = defaultdict(list)
        for each in self.endpoints.ended_runs:
            by_id[each.end.request_id].append(each)
        return by_id

    def stream_of(self, sent: SentRequest) -> bytes:
        """Return the complete body that the answer to a request must have."""
        events = self.stream.split(EVENT_END)[:-1]
        return b"".join(
            each + EVENT_END for each in events[sent.last_event_id : sent.event_count]
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """Hold a violated invariant, the request or process concerned, and details."""

    invariant: str
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class SeedResult:
    """Hold the violations, request counts and injected faults of a seed.

    Of so many resumptions that should go on, so many did.
    """

    seed: int
    violations: tuple[Violation, ...]
    requests_by_status: dict[int, int]
    injected_faults: tuple[str, ...]
    resumptions_served: int = 0
    resumptions_counted: int = 0
