"""Development tools of agatehoist."""

from __future__ import annotations
