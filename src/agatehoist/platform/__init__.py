"""Client of the platform's service."""

from __future__ import annotations
