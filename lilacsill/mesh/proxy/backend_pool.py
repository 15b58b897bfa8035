"""The pool of connections to the backend of this machine."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.timers import Timer

from .backend_connection import MAX_IDLE_US, BackendConnection
from .idle_limit import IdleLimit

CONNECT_TIMEOUT_US = 300_000  # short, since the backend is on this machine
DEFAULT_MAX_CONNECTIONS = 100  # if the configuration is not known or sets no limit
SWEEP_US = MAX_IDLE_US // 4


class BackendPool:
    """All connections to one backend. The most recently used one is reused first, so that the others can expire."""

    def __init__(self, reactor: Reactor, address: Address) -> None:
        self._reactor, self._address = reactor, address
        self.max_connections = DEFAULT_MAX_CONNECTIONS  # the backend resets connections beyond this number
        self.idle_limit = IdleLimit()
        self.connections: set[BackendConnection] = set()
        self._idle: deque[BackendConnection] = deque()  # the most recently used one last
        self._connecting = 0
        self._sweep_timer: Timer | None = None

    def set_max_connections(self, configured: int | None) -> None:
        """Set the maximum number of connections. None: the configuration sets no limit, and the default applies."""
        self.max_connections = DEFAULT_MAX_CONNECTIONS if configured is None else configured

    def now(self) -> int:
        """Return the current time in microseconds."""
        return self._reactor.now()

    def acquire(
        self,
        idempotent: bool,
        on_connected: Callable[[BackendConnection], None],
        on_failed: Callable[[OSError], None],
    ) -> None:
        """Reuse or open a connection for a request that has a slot.

        If `max_connections` are open, an idle one is closed to make room. One of the two callbacks is called, possibly
        before this method returns.
        """
        connection = self._take_idle(idempotent)
        if connection is not None:
            return on_connected(connection)
        while self._idle and len(self.connections) + self._connecting >= self.max_connections:
            self.discard(self._idle[0])

        def on_opened(sock: socket.socket) -> None:
            self._connecting -= 1
            opened = BackendConnection(self)
            try:
                opened.attach(sock)
            except OSError as error:
                sock.close()
                return on_failed(error)
            self.connections.add(opened)
            return on_connected(opened)

        def on_not_opened(error: OSError) -> None:
            self._connecting -= 1
            on_failed(error)

        self._connecting += 1
        connect(self._reactor, self._address, CONNECT_TIMEOUT_US, on_opened, on_not_opened)
        return None

    def _take_idle(self, idempotent: bool) -> BackendConnection | None:
        now = self.now()
        while self._idle:
            connection = self._idle[-1]
            idle_us = now - connection.idle_since
            if connection.open and idle_us < self._idle_limit_us(connection, True, now):
                if idle_us > self._idle_limit_us(connection, idempotent, now):
                    return None  # still good enough for a later read; the others have been idle for longer
                self._idle.pop()
                if connection.nothing_to_read():
                    return connection
            self.discard(connection)
        return None

    def _idle_limit_us(self, connection: BackendConnection, idempotent: bool, now: int) -> int:
        return self.idle_limit.limit_us(idempotent, connection.max_idle_us, now)

    def release(self, connection: BackendConnection) -> None:
        """Take back a connection: keep it for the next request, or close it if it cannot be reused."""
        if connection in self._idle:
            return
        if not connection.can_be_reused:
            self.discard(connection)
            return
        connection.idle_since = self.now()
        self._idle.append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = self._reactor.after(MAX_IDLE_US, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have reached their idle limit."""
        self._sweep_timer = None
        now = self.now()
        for connection in list(self._idle):
            if now - connection.idle_since >= self._idle_limit_us(connection, True, now):
                self.discard(connection)
        if self._idle:
            self._sweep_timer = self._reactor.after(SWEEP_US, self._sweep)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a connection from the pool."""
        self.connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection without notifying its request, if it has one."""
        connection.handler = None
        self.remove(connection)
        connection.drop()

    def close_idle(self) -> None:
        """Close all idle connections: their incarnation of the backend has ended, or the backend is silent."""
        for connection in list(self._idle):
            self.discard(connection)

    def record_reset(self, idle_us: int, in_flight_us: int) -> None:
        """Count a request whose connection ended before the response was complete."""
        self.idle_limit.record_reset(idle_us, in_flight_us, self.now())
