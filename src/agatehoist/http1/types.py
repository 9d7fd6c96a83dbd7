"""Messages of HTTP/1.1 and the limits on them."""

from __future__ import annotations

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

# The parser takes all statuses of three digits, but HTTP defines no higher class
# (RFC 9110, 15), and most code compares only with the classes that it defines.
MAX_STATUS = 599


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the request line and the headers of a request; names are lowercase."""

    method: bytes
    target: bytes
    headers: Headers

    def values(self, name: bytes) -> tuple[bytes, ...]:
        """Return all values of a header in order."""
        return tuple(value for each, value in self.headers if each == name)


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a complete request and the epoch time at which its head was read."""

    head: RequestHead
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Hold the status and the headers of a reply; names are lowercase."""

    status: int
    headers: Headers

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return next((value for each, value in self.headers if each == name), None)

    @property
    def has_framing(self) -> bool:
        """Return whether the body has a length or chunks that show its end."""
        framing = (b"content-length", b"transfer-encoding")
        return any(each in framing for each, _ in self.headers)

    @property
    def has_length(self) -> bool:
        """Return whether the length of the body is stated."""
        return self.value(b"content-length") is not None


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold a complete reply."""

    head: ReplyHead
    body: bytes


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limit how much a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
