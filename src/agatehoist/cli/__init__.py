"""Command line."""

from __future__ import annotations

from agatehoist.cli.main import main

__all__ = ["main"]
