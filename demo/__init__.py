"""Demonstration on stand-ins."""

from __future__ import annotations
