"""Addresses by IP number."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Name a TCP address by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
