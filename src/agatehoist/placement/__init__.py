"""Policies that choose the endpoint of a request."""

from __future__ import annotations
