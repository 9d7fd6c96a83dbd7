"""Stand-in for the platform: the object and weight store of routers and sidecars."""

from __future__ import annotations
