"""One HTTP call on a connection of its own: requests of clients, heartbeats of backends, calls of operators."""

from __future__ import annotations

import socket
from collections.abc import Callable

from httptools import HttpResponseParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.runtime.reactor import Reactor

MAX_BODY_BYTES = 1 << 24
JSON_HEADERS = [(b"Host", b"mesh"), (b"Content-Type", b"application/json")]  # of calls to the mesh itself


class HttpCall(Connection):
    """Calls `on_done` once: with the response, or with None if no complete one came in time."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        request: bytes,
        timeout_us: int,
        on_done: Callable[[Message | None], None],
    ) -> None:
        """Connect, and send an encoded request."""
        super().__init__()
        self._reader = Reader(HttpResponseParser, MAX_BODY_BYTES)
        self._request = request
        self._on_done: Callable[[Message | None], None] | None = on_done
        self._timer = reactor.after(timeout_us, self._end, None)
        connect(reactor, address, timeout_us, self._on_connected, lambda _error: self._end(None))

    def _on_connected(self, sock: socket.socket) -> None:
        if self._on_done is None:
            sock.close()
            return
        self.attach(sock)
        self.send(self._request)

    def on_data(self, data: bytes) -> None:
        """Take the response."""
        for message in self._reader.feed(data):
            self._end(message)

    def on_end(self) -> None:
        """Handle that the connection ended, or that all is over."""
        self._end(None)

    def _end(self, response: Message | None) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        self._timer.cancel()
        if self.stream is not None:
            self.drop()
        on_done(response)
