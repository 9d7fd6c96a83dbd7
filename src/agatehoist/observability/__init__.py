"""Logs and metrics."""

from __future__ import annotations
