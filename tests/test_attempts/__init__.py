"""Tests of the attempts package."""

from __future__ import annotations
