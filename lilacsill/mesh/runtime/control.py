"""The HTTP server for JSON calls of the platform, backends and operators; uses the shared HTTP/1.1 reader."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_response

from .connection_limit import make_room
from .link import Listener
from .log_ring import log
from .memory_budget import MemoryBudget
from .reactor import Reactor
from .resource_limits import ResourceLimits, default_limits

MAX_BODY_BYTES = 64 * 1024  # of a request, unless the server sets another limit; heartbeats take a few hundred bytes
IDLE_TIMEOUT_US = 30_000_000  # after which a connection without a request, or whose client does not read, is closed
MAX_QUEUED_REQUESTS = 16  # of one connection; with more of them it is not read
MAX_UNSENT_BYTES = 256 * 1024  # above this, further requests of the connection wait until the client has read
READ_BYTES = 16 * 1024  # at once
MIN_COUNTED_BYTES = 16 * 1024  # connections that hold less are not counted
FAILED_BODY = b'{"Message":"failed"}'

Respond = Callable[[int, bytes], None]
"""Takes the HTTP status and the JSON body of a response."""


class Responder(Protocol):
    """Sends the response to one request, and tells whether the caller still waits for it."""

    def __call__(self, status: int, body: bytes) -> None:
        """Send the response."""
        ...

    def is_awaited(self) -> bool:
        """Return whether there is no response yet and the caller has not closed its connection."""
        ...


Handle = Callable[[Message, Responder], None]
"""Handles a request, and responds to it at once or later."""


class ControlServer:
    """Accepts connections and passes each request to `handle`.

    Attributes:
        handle: Handles the requests; each request gets one response.
        draining: Whether each connection is closed after its next response.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        handle: Handle,
        content_type: str = "application/json",
        limits: ResourceLimits | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Listen on the address.

        Args:
            reactor: Event loop of the process.
            address: Address to bind.
            handle: Handles the requests.
            content_type: Content-Type of all responses.
            limits: What the connections may use; None: the defaults.
            max_body_bytes: Maximum size of the body of a request; a larger one is answered with 413.

        Raises:
            OSError: The address cannot be bound.
        """
        self.reactor = reactor
        self.handle = handle
        self.content_type = content_type
        self.draining = False
        self.max_body_bytes = max_body_bytes
        self._limits = limits or default_limits()
        self.connections: set[ControlConnection] = set()
        self.listener = Listener(reactor, address, self._on_accept, is_bounded=True)

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight or a response is not sent completely."""
        return any(connection.is_busy for connection in self.connections)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.listener.close()
        for connection in list(self.connections):
            connection.close()

    @property
    def memory(self) -> MemoryBudget:
        """The memory that the connections of this process share."""
        return self._limits.memory

    def _on_accept(self, sock: socket.socket) -> None:
        if not make_room(self.connections, self._limits.callers):
            sock.close()
            return
        connection = ControlConnection(self)
        connection.attach(sock)
        self.connections.add(connection)


class ControlConnection(Connection):
    """The connection of one client.

    Requests are handled one at a time; pipelined requests wait. If a handler responds twice to a request, only the
    first response is sent.
    """

    def __init__(self, server: ControlServer) -> None:
        super().__init__()
        self._server = server
        self._reader = Reader(HttpRequestParser, server.max_body_bytes)
        self._queue: deque[Message] = deque()
        self._handling = False
        self._account = server.memory.open_account(self.evict)
        self._last_activity_at = server.reactor.now()
        self._idle_timer = server.reactor.after(IDLE_TIMEOUT_US, self._on_idle)

    def attach(self, sock: socket.socket) -> None:
        """Take over a connected socket."""
        super().attach(sock)
        assert self.stream is not None
        self.stream.read_limit = lambda: READ_BYTES

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled or its response is not sent completely."""
        return self._handling or self.unsent > 0

    @property
    def idle_since(self) -> int | None:
        """Since when only the client could go on; None while a request is being handled."""
        return None if self._handling else self._last_activity_at

    def on_data(self, data: bytes) -> None:
        """Parse requests from the received bytes."""
        self._queue += self._reader.feed(data)
        self._handle_next()
        self._report()

    def on_end(self) -> None:
        """Remove the closed connection from the server."""
        self._server.connections.discard(self)
        self._idle_timer.cancel()
        self._account.close()
        self._queue.clear()

    def connection_lost(self) -> None:
        """Release the parser."""
        super().connection_lost()
        self._reader.end()

    def evict(self) -> None:
        """Close the connection at once."""
        self.drop()
        self.on_end()

    def flushed(self) -> None:
        """Go on: the client has read."""
        super().flushed()
        self._handle_next()
        self._report()

    def _on_idle(self) -> None:
        if self.unsent:  # `close` would wait until the client reads
            self.drop()
        else:
            self.close()

    def _report(self) -> None:
        """Report what the connection holds, and read on unless requests wait."""
        if self.closed or self.stream is None:
            return
        self._last_activity_at = now = self._server.reactor.now()
        used = self.unsent + self._reader.buffered_bytes + sum(request.memory_bytes for request in self._queue)
        if used < MIN_COUNTED_BYTES:
            used = 0
        if used != self._account.used:
            self._account.update(used, now)
        if len(self._queue) > MAX_QUEUED_REQUESTS or self.unsent > MAX_UNSENT_BYTES:
            self.stream.pause()
        else:
            self.stream.resume()

    def on_fault(self) -> None:
        """Reset the connection after an unhandled exception in this class."""
        self.drop()

    def _handle_next(self) -> None:
        if self._handling or not self.open or self.unsent > MAX_UNSENT_BYTES:
            return
        if self._queue:
            self._handle(self._queue.popleft())
        elif self._reader.error is not None:
            self.send(encode_response(self._reader.error.status, [("Connection", "close")], b""))
            self.discarding = True
            self.close()

    def _handle(self, request: Message) -> None:
        self._handling = True
        self._idle_timer.cancel()  # the timer limits the time between requests, not the time for a response
        responder = _ConnectionResponder(self, request)
        try:
            self._server.handle(request, responder)
        except Exception:
            log.exception("unhandled exception in a request handler")
            if not responder.responded:
                responder(500, FAILED_BODY)

    def respond(self, request: Message, status: int, body: bytes) -> None:
        """Send the response to the request that is being handled, and go on with the next request."""
        self._handling = False
        if not self.open:
            return
        last = not request.keep_alive or self._server.draining
        headers = [("Content-Type", self._server.content_type)]
        if last:
            headers.append(("Connection", "close"))
        self.send(encode_response(status, headers, body, request.method == b"HEAD"))
        self._idle_timer = self._server.reactor.after(IDLE_TIMEOUT_US, self._on_idle)
        if last:
            self.close()
        elif self._queue or self._reader.error is not None:
            # Not at once: a client that sends many requests ahead must not delay all others.
            self._server.reactor.call_soon(self._go_on)

    def _go_on(self) -> None:
        self._handle_next()
        self._report()


class _ConnectionResponder:
    """The `Responder` of one request on a connection."""

    __slots__ = ("_connection", "_request", "responded")

    def __init__(self, connection: ControlConnection, request: Message) -> None:
        self._connection = connection
        self._request = request
        self.responded = False

    def __call__(self, status: int, body: bytes) -> None:
        if self.responded:
            log.warning("dropping a second response to one request: HTTP %d", status)
            return
        self.responded = True
        self._connection.respond(self._request, status, body)

    def is_awaited(self) -> bool:
        # The kernel is asked as well, because the event loop may not have read the caller's close yet.
        return not self.responded and self._connection.open and self._connection.nothing_to_read()
