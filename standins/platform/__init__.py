"""Stand-in for the platform."""

from __future__ import annotations
