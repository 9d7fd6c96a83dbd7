"""Types shared by every package."""

from __future__ import annotations
