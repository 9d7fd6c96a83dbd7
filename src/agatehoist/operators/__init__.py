"""HTTP interface for operators, and the reading of it from all routers."""

from __future__ import annotations
