"""A proxy on loopback that delays, resets, silences or cuts what goes through it.

One thread for each connection and direction: it is for tests, and carries little.
"""

import socket
import struct
import threading
from contextlib import suppress
from enum import StrEnum
from time import sleep

__all__ = ["Proxy", "Way"]

CHUNK_BYTES = 65536
LINGER = struct.pack("ii", 1, 0)
"""Closing resets the connection."""
LOOK_S = 0.05


class Way(StrEnum):
    """What the proxy does with bytes."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"
    """Calls go through, answers do not."""


class Proxy:
    """Listens on loopback, and connects each caller on.

    Parameters
    ----------
    target : str
        ``IP:PORT``.
    delay_s : float
        What `Way.DELAY` adds to each piece.
    """

    def __init__(self, target: str, delay_s: float = 0.2) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._delay_s = delay_s
        self._way = Way.OPEN
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._server = socket.create_server(("127.0.0.1", 0))
        host, port = self._server.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_way(self, way: Way) -> None:
        """Do something else from now on; open connections are reset by `Way.RESET`."""
        self._way = way
        if way is Way.RESET:
            self._reset_all()

    def close(self) -> None:
        """Stop."""
        self._server.close()
        self._reset_all()

    def _reset_all(self) -> None:
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for each in sockets:
            _reset(each)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._server.accept()
            except OSError:
                return
            if self._way is Way.RESET:
                _reset(caller)
                continue
            try:
                target = socket.create_connection(self._target)
            except OSError:
                _reset(caller)
                continue
            with self._lock:
                self._sockets |= {caller, target}
            for source, sink, is_answer in ((caller, target, False), (target, caller, True)):
                thread = threading.Thread(target=self._copy, args=(source, sink, is_answer))
                thread.daemon = True
                thread.start()

    def _copy(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._wait(is_answer)
                sink.sendall(data)
        with self._lock:
            self._sockets -= {source, sink}
        for each in (source, sink):
            with suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def _wait(self, is_answer: bool) -> None:
        if self._way is Way.DELAY:
            sleep(self._delay_s)
        while self._way is Way.SILENT or (self._way is Way.ONE_WAY and is_answer):
            sleep(LOOK_S)


def _reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        sock.shutdown(socket.SHUT_RDWR)
    with suppress(OSError):
        sock.close()
