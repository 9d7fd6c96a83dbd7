"""Quarantine of prompt parts that crash the endpoints that answer them."""

from __future__ import annotations
