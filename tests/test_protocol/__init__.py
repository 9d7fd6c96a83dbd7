"""Tests of the protocol package."""

from __future__ import annotations
