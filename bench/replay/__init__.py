"""Replay of stored request traces through the placement and admission code."""

from __future__ import annotations
