"""Stand-ins for the external systems that agatehoist works with."""

from __future__ import annotations
