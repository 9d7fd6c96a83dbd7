"""Clients of the endpoints, registered by kind."""

from __future__ import annotations

from agatehoist.endpoints.engine import EngineClient
from agatehoist.endpoints.kinds import ENDPOINT_KINDS
from agatehoist.endpoints.service import ServiceClient

__all__ = ["ENDPOINT_KINDS", "EngineClient", "ServiceClient"]
