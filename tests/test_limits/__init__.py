"""Tests of the limits package."""

from __future__ import annotations
