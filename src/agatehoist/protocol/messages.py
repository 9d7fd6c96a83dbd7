"""Messages of the protocol between the processes of agatehoist.

Deadlines are in epoch seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from agatehoist.core.identity import AttemptId, EndpointIdentity
from agatehoist.core.registry import Registry
from agatehoist.core.work import CallWork, CompletionWork, PrefixLevel, Priority
from agatehoist.refusals.types import Refusal

PROTOCOL_VERSION = 1

MESSAGES: Registry[type] = Registry("message code")
CODES_BY_TYPE: dict[type, int] = {}

MessageType = TypeVar("MessageType", bound=type)


class message:  # noqa: N801
    """Register a class as the message with a code."""

    def __init__(self, code: int) -> None:
        self.code = code

    def __call__(self, cls: MessageType) -> MessageType:
        MESSAGES.register(self.code)(cls)
        CODES_BY_TYPE[cls] = self.code
        return cls


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """Open a connection; each side sends one before any other message.

    `revision` is the revision of the configuration that the sender has.
    """

    version: int
    node: str
    incarnation: str
    revision: int


@message(2)
@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an endpoint how much of a prompt it has cached and when it could start."""

    probe_id: int
    organisation: str
    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    priority: Priority
    deadline: float


@message(3)
@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Reply to a probe; times are in seconds.

    An endpoint that isn't ready may become ready again; a leaving one will not.
    """

    probe_id: int
    identity: EndpointIdentity
    matched_tokens: int
    ttft_estimate: float
    ready: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class Assignment:
    """Describe assigned work: whose it is, its deadline and the expected endpoint.

    `weight` is the weight of the organisation in fair scheduling.
    """

    attempt_id: AttemptId
    organisation: str
    identity: EndpointIdentity
    priority: Priority
    deadline: float
    weight: float = 1.0


@message(4)
@dataclass(frozen=True, slots=True)
class SubmitCompletion:
    """Submit a completion to an endpoint."""

    assignment: Assignment
    levels: tuple[PrefixLevel, ...]
    work: CompletionWork


@message(5)
@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Submit a service call to an endpoint."""

    assignment: Assignment
    work: CallWork


@message(6)
@dataclass(frozen=True, slots=True)
class Tokens:
    """Carry generated tokens; first is the index of the first one in the answer."""

    attempt_id: AttemptId
    first: int
    texts: tuple[str, ...]


@message(7)
@dataclass(frozen=True, slots=True)
class CompletionEnd:
    """End a completion of which all tokens have been sent."""

    attempt_id: AttemptId
    token_count: int
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int


@message(8)
@dataclass(frozen=True, slots=True)
class CallReply:
    """Carry the complete HTTP reply of a service."""

    attempt_id: AttemptId
    status: int
    headers_by_name: dict[str, str]
    body: bytes


@message(9)
@dataclass(frozen=True, slots=True)
class Refused:
    """End an attempt with a refusal."""

    attempt_id: AttemptId
    refusal: Refusal


@message(10)
@dataclass(frozen=True, slots=True)
class Cancel:
    """Ask for an attempt to be stopped."""

    attempt_id: AttemptId


@message(11)
@dataclass(frozen=True, slots=True)
class Resume:
    """Ask for the tokens of an attempt from an index on."""

    attempt_id: AttemptId
    first: int
    organisation: str
    deadline: float
