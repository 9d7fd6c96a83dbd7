"""Tests of the quarantine package."""

from __future__ import annotations
