"""Access to the platform's object store: client, call budget, backoff, shared reads."""

from __future__ import annotations
