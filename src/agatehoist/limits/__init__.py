"""Fleet-wide rate limits of organisations; the limits of one are its ceiling."""

from __future__ import annotations
