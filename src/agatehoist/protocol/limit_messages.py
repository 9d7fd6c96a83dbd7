"""Lease requests of routers to the process that issues leases of a ceiling."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.limits.types import Grant, LeaseRequestBody
from agatehoist.protocol.messages import message


@message(30)
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request a lease of a part of a ceiling's budget."""

    request_id: int
    ask: LeaseRequestBody


@message(31)
@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Reply with the budget that was granted."""

    request_id: int
    grant: Grant
