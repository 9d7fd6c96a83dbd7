"""Tests of the spread."""

from __future__ import annotations
