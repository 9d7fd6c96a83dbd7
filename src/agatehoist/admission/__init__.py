"""Decisions on which admitted work runs when."""

from __future__ import annotations
