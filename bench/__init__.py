"""Measurements, kept out of CI."""

from __future__ import annotations
