"""HTTP interface for operators, and the collection of its answers from all routers."""

from __future__ import annotations
