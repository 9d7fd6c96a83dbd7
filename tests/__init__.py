"""Tests of agatehoist."""

from __future__ import annotations
