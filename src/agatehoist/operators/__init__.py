"""The operators' interface of the processes."""

from __future__ import annotations
