"""Conversion factors between units."""

from __future__ import annotations

MS_PER_S = 1000.0
BITS_PER_BYTE = 8
BYTES_PER_MB = 1_000_000
