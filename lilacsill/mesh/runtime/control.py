"""The JSON calls of the platform, backends and operators: a small server on the shared reader of HTTP/1.1."""

from __future__ import annotations

import socket
from collections.abc import Callable

from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_response

from .link import Listener
from .log_ring import log
from .reactor import Reactor

BODY_LIMIT = 32 * 1024 * 1024
IDLE_US = 30_000_000
Respond = Callable[[int, bytes], None]
Handle = Callable[[Message, Respond], None]


class ControlServer:
    """Each request goes to `handle`, which answers once, then or later."""

    def __init__(self, reactor: Reactor, address: Address, handle: Handle) -> None:
        """Raises OSError."""
        self.reactor, self.handle = reactor, handle
        self.leaving = False
        self.connections: set[ControlConnection] = set()
        self.listener = Listener(reactor, address, self._accepted)

    def _accepted(self, sock: socket.socket) -> None:
        connection = ControlConnection(self)
        connection.attach(sock)
        self.connections.add(connection)

    def close(self) -> None:
        self.listener.close()
        for connection in list(self.connections):
            connection.close()


class ControlConnection(Connection):
    """One caller; one request at a time is in hand, what came behind it waits. Each gets one answer, the first."""

    def __init__(self, server: ControlServer) -> None:
        super().__init__()
        self._server = server
        self._reader = Reader(HttpRequestParser, BODY_LIMIT)
        self._waiting: list[Message] = []
        self._busy = False
        self._timer = server.reactor.after(IDLE_US, self.close)

    def on_data(self, data: bytes) -> None:
        self._waiting += self._reader.feed(data)
        self._next()

    def on_end(self) -> None:
        self._server.connections.discard(self)
        self._timer.cancel()

    def on_fault(self) -> None:
        self.drop()

    def _next(self) -> None:
        if self._busy or not self.open:
            return
        if self._waiting:
            request = self._waiting.pop(0)
            self._busy = True
            self._timer.cancel()  # it bounds how long a caller may rest, not how long an answer may take
            answered = False

            def respond(status: int, body: bytes) -> None:
                nonlocal answered
                if answered:
                    return log.warning("a second answer to one call is dropped: %d", status)
                answered = True
                self._respond(request, status, body)

            try:
                self._server.handle(request, respond)
            except Exception:
                log.exception("a call failed")
                if not answered:
                    respond(500, b'{"Message":"failed"}')
        elif self._reader.error is not None:
            self.send(encode_response(self._reader.error.status, [("Connection", "close")], b""))
            self.discarding = True
            self.close()

    def _respond(self, request: Message, status: int, body: bytes) -> None:
        self._busy = False
        if not self.open:
            return
        last = not request.keep_alive or self._server.leaving
        headers = [("Content-Type", "application/json")]
        if last:
            headers.append(("Connection", "close"))
        self.send(encode_response(status, headers, body, request.method == b"HEAD"))
        self._timer = self._server.reactor.after(IDLE_US, self.close)
        if last:
            self.close()
        else:
            self._next()
