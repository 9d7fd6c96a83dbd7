"""Sidecar: the process that runs beside each endpoint and serves routers."""

from __future__ import annotations
