"""Claims in the platform that make a call with an idempotency key run at most once."""

from __future__ import annotations
