"""Messages between routers and the homes of ceilings."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.limits.types import Grant, LeaseRequestBody
from agatehoist.protocol.messages import message


@message(30)
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Ask the home of a ceiling for a lease of its budget."""

    request_id: int
    ask: LeaseRequestBody


@message(31)
@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answer with what the home gave."""

    request_id: int
    grant: Grant
