"""Tests of the frontend package."""

from __future__ import annotations
