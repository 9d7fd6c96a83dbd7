"""Rate ceilings of an organisation across the fleet."""

from __future__ import annotations
