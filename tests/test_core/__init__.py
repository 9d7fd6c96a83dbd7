"""Tests of the core package."""

from __future__ import annotations
