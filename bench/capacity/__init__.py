"""Growth of memory, processor time and message sizes with the size of a fleet."""

from __future__ import annotations
