"""TCP addresses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Hold the IP address and port of a TCP server."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
