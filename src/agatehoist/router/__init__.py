"""The router: accepts requests of callers and sends them to the sidecars."""

from __future__ import annotations
