"""Fleet-wide rate limits, called ceilings, of organisations."""

from __future__ import annotations
