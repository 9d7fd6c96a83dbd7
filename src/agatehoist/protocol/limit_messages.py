"""Lease requests of routers to the process that issues leases of a ceiling.

A ceiling is the rate limit of an organisation.
"""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.limits.types import Grant, LeaseRequestBody
from agatehoist.protocol.messages import message


@message(30)
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request a lease of a part of a ceiling; `ask` has the amounts and their use."""

    request_id: int
    ask: LeaseRequestBody


@message(31)
@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Reply with the amounts that were granted."""

    request_id: int
    grant: Grant
