"""Tests of the gossip package."""

from __future__ import annotations
