"""The HTTP server for the JSON calls of the platform, backends and operators, on the shared reader of HTTP/1.1."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_response

from .link import Listener
from .log_ring import log
from .reactor import Reactor

MAX_BODY_BYTES = 32 * 1024 * 1024  # of a call
IDLE_TIMEOUT_US = 30_000_000  # after which a connection without a call is closed
FAILED_BODY = b'{"Message":"failed"}'

Respond = Callable[[int, bytes], None]
"""Takes the HTTP status and the JSON body of a response."""
Handle = Callable[[Message, Respond], None]
"""Takes a call, and responds to it at once or later."""


class ControlServer:
    """Accepts connections and gives each call to `handle`.

    Attributes:
        handle: Answers the calls; each call gets one response.
        draining: Whether each connection is closed after its next response.
    """

    def __init__(
        self, reactor: Reactor, address: Address, handle: Handle, content_type: str = "application/json"
    ) -> None:
        """Listen on the address.

        Args:
            reactor: Event loop of the process.
            address: Where to listen.
            handle: Answers the calls.
            content_type: Of all responses.

        Raises:
            OSError: The address cannot be bound.
        """
        self.reactor = reactor
        self.handle = handle
        self.content_type = content_type
        self.draining = False
        self.connections: set[ControlConnection] = set()
        self.listener = Listener(reactor, address, self._on_accept)

    @property
    def is_busy(self) -> bool:
        """Whether a caller still waits for its response, or has not taken all of it."""
        return any(connection.is_busy for connection in self.connections)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.listener.close()
        for connection in list(self.connections):
            connection.close()

    def _on_accept(self, sock: socket.socket) -> None:
        connection = ControlConnection(self)
        connection.attach(sock)
        self.connections.add(connection)


class ControlConnection(Connection):
    """The connection of one caller.

    One call at a time is handled, those behind it wait. Each call gets one response, the first that its handler gives.
    """

    def __init__(self, server: ControlServer) -> None:
        super().__init__()
        self._server = server
        self._reader = Reader(HttpRequestParser, MAX_BODY_BYTES)
        self._queue: deque[Message] = deque()
        self._handling = False
        self._idle_timer = server.reactor.after(IDLE_TIMEOUT_US, self.close)

    @property
    def is_busy(self) -> bool:
        """Whether a call is being handled, or its response is not sent completely."""
        return self._handling or self.unsent > 0

    def on_data(self, data: bytes) -> None:
        """Read calls from the bytes received."""
        self._queue += self._reader.feed(data)
        self._handle_next()

    def on_end(self) -> None:
        """Forget the connection."""
        self._server.connections.discard(self)
        self._idle_timer.cancel()

    def on_fault(self) -> None:
        """Reset the connection after a fault in this class."""
        self.drop()

    def _handle_next(self) -> None:
        if self._handling or not self.open:
            return
        if self._queue:
            self._handle(self._queue.popleft())
        elif self._reader.error is not None:
            self.send(encode_response(self._reader.error.status, [("Connection", "close")], b""))
            self.discarding = True
            self.close()

    def _handle(self, request: Message) -> None:
        self._handling = True
        self._idle_timer.cancel()  # it bounds how long a caller may be idle, not how long a response may take
        responded = False

        def respond(status: int, body: bytes) -> None:
            nonlocal responded
            if responded:
                log.warning("a second response to one call is dropped: %d", status)
                return
            responded = True
            self._respond(request, status, body)

        try:
            self._server.handle(request, respond)
        except Exception:
            log.exception("the handler of a call failed")
            if not responded:
                respond(500, FAILED_BODY)

    def _respond(self, request: Message, status: int, body: bytes) -> None:
        self._handling = False
        if not self.open:
            return
        last = not request.keep_alive or self._server.draining
        headers = [("Content-Type", self._server.content_type)]
        if last:
            headers.append(("Connection", "close"))
        self.send(encode_response(status, headers, body, request.method == b"HEAD"))
        self._idle_timer = self._server.reactor.after(IDLE_TIMEOUT_US, self.close)
        if last:
            self.close()
        else:
            self._handle_next()
