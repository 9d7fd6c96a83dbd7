"""Clocks, addresses, sockets, counters and request types that other packages share."""

from __future__ import annotations
