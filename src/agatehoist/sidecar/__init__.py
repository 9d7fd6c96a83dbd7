"""The process beside each endpoint."""

from __future__ import annotations
