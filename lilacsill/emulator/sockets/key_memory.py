"""The keys that have run, replicated between the server processes of one fleet."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..models.server import RepeatMemory

RECEIVE_BUFFER_BYTES = 1 << 21
MAX_KEY_BYTES = 1024


class SharedKeyMemory(RepeatMemory):
    """A memory of keys that sends each key that runs to the other processes, by a datagram.

    A repeat follows after a client's or an agent's time-out, tens of milliseconds later. A datagram on loopback takes
    tens of microseconds, so that every process knows the key by then.
    """

    def __init__(self, span_us: int, now: Callable[[], int]) -> None:
        super().__init__(span_us)
        self._now = now
        self._others: list[tuple[str, int]] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]

    def join(self, ports: list[int]) -> None:
        """Exchange keys with the processes on these ports; this process's own may be among them."""
        self._others = [("127.0.0.1", port) for port in ports if port != self.port]
        if self._others:
            asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def is_repeat(self, key: str, now: int) -> bool:
        """Return whether this key ran within the span; if not, record it here and in the other processes."""
        if super().is_repeat(key, now):
            return True
        for other in self._others:
            self._socket.sendto(key.encode(), other)
        return False

    def _receive(self) -> None:
        while True:
            try:
                key = self._socket.recv(MAX_KEY_BYTES)
            except BlockingIOError:
                return
            super().is_repeat(key.decode(), self._now())
