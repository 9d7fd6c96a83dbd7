"""State of the endpoints: entries, weights versions, load and failure rate."""

from __future__ import annotations
