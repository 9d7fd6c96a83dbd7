"""Tests of the orders package."""

from __future__ import annotations
