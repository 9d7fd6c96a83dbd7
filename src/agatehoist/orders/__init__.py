"""Desired state of each endpoint and the orders that bring it about."""

from __future__ import annotations
