"""Stand-ins for the users' platform, which gateways use: its store and endpoints."""

from __future__ import annotations
