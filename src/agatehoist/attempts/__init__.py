"""Decisions on the attempts of one request."""

from __future__ import annotations
