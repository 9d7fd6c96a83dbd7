"""Tests of the fleet package."""

from __future__ import annotations
