"""Hosts of the fleet: who exists, who watches the platform, who is leaving."""

from __future__ import annotations
