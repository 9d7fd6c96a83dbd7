"""Tests of the documentation."""

from __future__ import annotations
