"""Claims in the platform that let a keyed call run at most once."""

from __future__ import annotations
