"""State of the endpoints: who serves, with which weights and under which load."""

from __future__ import annotations
