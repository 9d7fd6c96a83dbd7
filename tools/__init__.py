"""Tools for the developers of agatehoist."""

from __future__ import annotations
