"""Tests of the cache package."""

from __future__ import annotations
