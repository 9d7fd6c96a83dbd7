"""Tracking of KV cache contents, and decisions to import or save them."""

from __future__ import annotations
