"""Stand-in of the engine."""

from __future__ import annotations
