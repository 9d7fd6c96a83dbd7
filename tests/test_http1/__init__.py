"""Tests of the http1 package."""

from __future__ import annotations
