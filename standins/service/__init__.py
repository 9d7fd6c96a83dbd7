"""Stand-in of the service."""

from __future__ import annotations
