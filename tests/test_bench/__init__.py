"""Tests of the measurements' arithmetic."""

from __future__ import annotations
