"""Tests of the whole path, on processes."""

from __future__ import annotations
