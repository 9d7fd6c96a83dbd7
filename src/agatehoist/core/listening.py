"""Sockets that listen on a configured address."""

from __future__ import annotations

import socket

from agatehoist.errors import AgatehoistError

BACKLOG = 1024


class ListenError(AgatehoistError):
    """Report an address that can't be listened on."""


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that listens on the address.

    Raises ListenError.
    """
    try:
        return socket.create_server((host, port), backlog=BACKLOG)
    except OSError as error:
        raise ListenError(f"can't listen on {host}:{port}: {error.strerror}") from error
