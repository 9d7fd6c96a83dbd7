"""Tests of the router package."""

from __future__ import annotations
