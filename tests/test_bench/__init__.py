"""Tests of the benchmarks' arithmetic."""

from __future__ import annotations
