"""State machine, budgets and records of the attempts of one request."""

from __future__ import annotations
