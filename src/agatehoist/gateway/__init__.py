"""The gateway: a router that sends requests to endpoints without a sidecar."""

from __future__ import annotations
