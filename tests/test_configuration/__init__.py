"""Tests of the configuration."""

from __future__ import annotations
