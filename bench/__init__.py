"""Benchmarks and simulations; CI doesn't run the benchmarks."""

from __future__ import annotations
