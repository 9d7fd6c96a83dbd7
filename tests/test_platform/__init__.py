"""Tests of the platform package."""

from __future__ import annotations
