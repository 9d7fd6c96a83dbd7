"""Refusals of requests, and whether the refused work was run."""

from __future__ import annotations

from agatehoist.refusals.kinds import REFUSALS, RefusalKind
from agatehoist.refusals.types import Refusal, RequestRefusedError

__all__ = ["REFUSALS", "Refusal", "RefusalKind", "RequestRefusedError"]
