"""Stand-in of the platform."""

from __future__ import annotations
