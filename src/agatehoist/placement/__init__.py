"""Decisions on which endpoint gets a request."""

from __future__ import annotations
