"""Tests of logs and metrics."""

from __future__ import annotations
