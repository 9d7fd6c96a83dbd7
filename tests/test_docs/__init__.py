"""Tests of the docs."""

from __future__ import annotations
