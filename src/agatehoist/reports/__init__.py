"""Reports on service-level objectives."""

from __future__ import annotations
