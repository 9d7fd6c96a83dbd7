"""Tests of the reports package."""

from __future__ import annotations
