"""Validated YAML files."""

from __future__ import annotations

from agatehoist.settings.errors import Finding, InvalidFileError
from agatehoist.settings.load import load_file

__all__ = ["Finding", "InvalidFileError", "load_file"]
