"""Tests of the platform client."""

from __future__ import annotations
