"""Tests of the endpoints package."""

from __future__ import annotations
