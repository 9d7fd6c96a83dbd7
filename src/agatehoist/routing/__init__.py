"""Routes from hosts and paths to services, and access to them by key."""

from __future__ import annotations
