"""Tests of the operators package."""

from __future__ import annotations
