"""Tests of the explain package."""

from __future__ import annotations
