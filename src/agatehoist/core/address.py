"""TCP addresses."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

from agatehoist.core.numbers import checked_integer, read_integer

MAX_PORT = 2**16 - 1


@dataclass(frozen=True, slots=True)
class Address:
    """Hold the IP address and port of a TCP server."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def read_address(text: str) -> Address | None:
    """Return the address that a text HOST:PORT names, or None."""
    host, _, port = text.rpartition(":")
    return checked_address(host, read_integer(port, MAX_PORT))


def checked_address(host: object, port: object) -> Address | None:
    """Return the address of an IPv4 host and a port above 0, or None."""
    checked_port = checked_integer(port, MAX_PORT)
    if not isinstance(host, str) or not checked_port:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return Address(host, checked_port)
