"""Tests of the sidecar package."""

from __future__ import annotations
