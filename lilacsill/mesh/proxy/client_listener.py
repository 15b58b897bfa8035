"""The listener for the clients of this machine, and the timeouts of their connections."""

from __future__ import annotations

import socket

from lilacsill.address import Address
from lilacsill.mesh.runtime.connection_limit import make_room
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.resource_limits import ResourceLimits, default_limits

from .client_connection import ClientConnection
from .forwarder import Forwarder

TIMEOUT_CHECK_US = 500_000


class ClientListener:
    """Accepts clients' connections; implements `client_connection.ConnectionOwner` for them."""

    def __init__(
        self, reactor: Reactor, address: Address, forwarder: Forwarder, limits: ResourceLimits | None = None
    ) -> None:
        """Start to listen at `address`; the connections have the default limits, or `limits`.

        Raises:
            OSError: The address cannot be bound.
        """
        self.reactor, self.forwarder = reactor, forwarder
        self._limits = limits or default_limits()
        self.memory = self._limits.memory
        self.is_draining = False
        self.connections: set[ClientConnection] = set()
        self.listener = Listener(reactor, address, self._on_accepted, is_bounded=True)
        self._check_timeouts()

    def _on_accepted(self, sock: socket.socket) -> None:
        if not make_room(self.connections, self._limits.clients):
            sock.close()
            return
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
            connection.check_progress()
            started_at = connection.head_started_at
            if connection.is_idle and now - connection.last_activity_at > limits.idle_timeout_us + TIMEOUT_CHECK_US:
                connection.close()
            elif started_at is not None and now - started_at > limits.header_timeout_us + TIMEOUT_CHECK_US:
                connection.time_out_head()
            elif now - (connection.idle_since or now) > limits.idle_timeout_us + TIMEOUT_CHECK_US:
                connection.evict()

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
