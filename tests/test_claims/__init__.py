"""Tests of the claims package."""

from __future__ import annotations
