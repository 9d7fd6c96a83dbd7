"""Listening sockets on configured addresses."""

from __future__ import annotations

import socket

from agatehoist.errors import AgatehoistError

LISTEN_BACKLOG = 1024


class ListenError(AgatehoistError):
    """Report that a listening socket couldn't be opened."""


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a TCP socket that listens on the address.

    Raises ListenError.
    """
    try:
        return socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise ListenError(f"can't listen on {host}:{port}: {error.strerror}") from error
