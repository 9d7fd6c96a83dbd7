"""Replay of recorded traces through the product's decisions."""

from __future__ import annotations
