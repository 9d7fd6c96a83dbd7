"""Checks of a routing configuration before an operator sends it."""

from __future__ import annotations
