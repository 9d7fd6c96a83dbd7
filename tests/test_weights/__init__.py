"""Tests of the weights package."""

from __future__ import annotations
