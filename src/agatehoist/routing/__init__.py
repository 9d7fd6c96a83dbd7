"""Choice of a service by HTTP host and path, and authentication by API key."""

from __future__ import annotations
