"""HTTP/1.1 over non-blocking sockets, with h11 as the parser."""

from __future__ import annotations
