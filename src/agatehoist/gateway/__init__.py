"""Routers that reach endpoints directly, without a sidecar."""

from __future__ import annotations
