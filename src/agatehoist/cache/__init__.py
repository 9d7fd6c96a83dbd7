"""The sidecar's picture of the blocks that its engine holds."""

from __future__ import annotations
