"""Slopes of state, messages, processor time and memory."""

from __future__ import annotations
