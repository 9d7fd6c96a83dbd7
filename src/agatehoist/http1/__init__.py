"""HTTP/1.1 over non-blocking sockets, with h11 for the grammar."""

from __future__ import annotations
