"""Hosts of the fleet: which exist, which call the platform, which are leaving."""

from __future__ import annotations
