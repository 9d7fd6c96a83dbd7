"""End-to-end tests that run each component as a separate process."""

from __future__ import annotations
