"""Tests of the preview package."""

from __future__ import annotations
