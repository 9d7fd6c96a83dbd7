"""Settings of the processes, and loading of YAML files that reports every fault."""

from __future__ import annotations

from agatehoist.settings.errors import Finding, InvalidFileError
from agatehoist.settings.load import load_file

__all__ = ["Finding", "InvalidFileError", "load_file"]
