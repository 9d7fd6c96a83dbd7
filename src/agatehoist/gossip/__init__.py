"""Spread of the configuration and the host list between the processes."""

from __future__ import annotations
