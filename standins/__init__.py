"""Stand-ins for the systems that agatehoist meets."""

from __future__ import annotations
