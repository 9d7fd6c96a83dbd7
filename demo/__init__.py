"""Demonstration of agatehoist with stand-ins for the external systems."""

from __future__ import annotations
