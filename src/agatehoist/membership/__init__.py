"""Hosts of the fleet: which exist, read the platform for all, or are leaving."""

from __future__ import annotations
