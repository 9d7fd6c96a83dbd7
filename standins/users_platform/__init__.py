"""Stand-ins for the users' platform: its store, its endpoints and its callers."""

from __future__ import annotations
