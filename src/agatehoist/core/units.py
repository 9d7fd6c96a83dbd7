"""Conversion factors between units."""

from __future__ import annotations

MS_PER_S = 1000.0
