"""TCP relay that can drop data and connections, for tests of lost connections."""

from __future__ import annotations

import contextlib
import socket
import threading

CHUNK_BYTES = 65536


class Relay:
    """Forward bytes between clients and a loopback port until closed."""

    def __init__(self, target_port: int) -> None:
        self._target = ("127.0.0.1", target_port)
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._sockets: list[socket.socket] = []
        self._drops_answers = False
        self.port = self._listening.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def disconnect(self) -> None:
        """Close every open connection; new ones are still accepted."""
        sockets, self._sockets = self._sockets, []
        for each in sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def drop_answers(self) -> None:
        """Drop all data from the target until the next connection is accepted."""
        self._drops_answers = True

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        with contextlib.suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        self.disconnect()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listening.accept()
            except OSError:
                return
            try:
                target = socket.create_connection(self._target)
            except OSError:
                caller.close()
                continue
            self._drops_answers = False
            self._sockets += [caller, target]
            pairs = [(caller, target, False), (target, caller, True)]
            for source, destination, is_answer in pairs:
                threading.Thread(
                    target=self._forward,
                    args=(source, destination, is_answer),
                    daemon=True,
                ).start()

    def _forward(
        self, source: socket.socket, destination: socket.socket, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if not (is_answer and self._drops_answers):
                    destination.sendall(data)
        for each in (source, destination):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
