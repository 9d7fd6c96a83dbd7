"""The process on each entry host."""

from __future__ import annotations
