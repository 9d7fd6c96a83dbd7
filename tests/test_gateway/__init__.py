"""Tests of the gateway package."""

from __future__ import annotations
