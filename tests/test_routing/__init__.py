"""Tests of the routing package."""

from __future__ import annotations
