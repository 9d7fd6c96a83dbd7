"""Tests of the admission package."""

from __future__ import annotations
