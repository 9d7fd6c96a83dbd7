"""Quarantine of requests, and of prompt parts, that crash the endpoints they run on."""

from __future__ import annotations
