"""The listener for the clients of this machine, and the timeouts of their connections."""

from __future__ import annotations

import socket

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.reactor import Reactor

from .client_connection import ClientConnection
from .forwarder import Forwarder

TIMEOUT_CHECK_US = 500_000


class ClientListener:
    """Accepts clients' connections; implements `client_connection.ConnectionOwner` for them."""

    def __init__(self, reactor: Reactor, address: Address, forwarder: Forwarder) -> None:
        """Start to listen at `address`. Raises OSError if that fails."""
        self.reactor, self.forwarder = reactor, forwarder
        self.is_draining = False
        self.connections: set[ClientConnection] = set()
        self.listener = Listener(reactor, address, self._on_accepted)
        self._check_timeouts()

    def _on_accepted(self, sock: socket.socket) -> None:
        connection = ClientConnection(self)
        connection.attach(sock)
        self.connections.add(connection)

    def connection_ended(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def _check_timeouts(self) -> None:
        self.reactor.after(TIMEOUT_CHECK_US, self._check_timeouts)
        now, limits = self.reactor.now(), self.forwarder.config.limits
        for connection in list(self.connections):
            started_at = connection.head_started_at
            if connection.is_idle and now - connection.last_activity_at > limits.idle_timeout_us + TIMEOUT_CHECK_US:
                connection.close()
            elif started_at is not None and now - started_at > limits.header_timeout_us + TIMEOUT_CHECK_US:
                connection.time_out_head()

    def start_draining(self) -> None:
        """Answer the requests in flight, and close each connection after its last response.

        Requests behind them are not processed; clients resend them on another connection. A request that arrives later
        is the last one on its connection.
        """
        self.is_draining = True
        for connection in self.connections:
            connection.start_draining()

    @property
    def has_unsent(self) -> bool:
        """Whether any client has not accepted all bytes sent to it."""
        return any(connection.unsent for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without requests in flight, each once its client has accepted all responses."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()
