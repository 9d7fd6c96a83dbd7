"""Objects kept by the platform: client, call budget, backoff, shared reads."""

from __future__ import annotations
