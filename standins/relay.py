"""A TCP relay that can be cut, for tests of lost connections."""

from __future__ import annotations

import contextlib
import socket
import threading

CHUNK_BYTES = 65536


class Relay:
    """Pass bytes between callers and a port of loopback until cut."""

    def __init__(self, target_port: int) -> None:
        self._target = ("127.0.0.1", target_port)
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._sockets: list[socket.socket] = []
        self._deaf = False
        self.port = self._listening.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """End every connection."""
        sockets, self._sockets = self._sockets, []
        for each in sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def drop_answers(self) -> None:
        """Lose what the target sends from now on, until the next cut."""
        self._deaf = True

    def close(self) -> None:
        """Stop for good."""
        with contextlib.suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        self.cut()

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
            self._deaf = False
            self._sockets += [caller, target]
            pairs = [(caller, target, False), (target, caller, True)]
            for source, sink, is_answer in pairs:
                threading.Thread(
                    target=self._pump, args=(source, sink, is_answer), daemon=True
                ).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if not (is_answer and self._deaf):
                    sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
