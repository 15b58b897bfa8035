"""The listener for this machine's clients, and the time-outs of their connections."""

from __future__ import annotations

import socket

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.reactor import Reactor

from .client_connection import ClientConnection
from .forwarder import Forwarder

TIMEOUT_CHECK_US = 500_000


class ClientListener:
    """Accepts clients' connections; `client_connection.ConnectionOwner` of all of them."""

    def __init__(self, reactor: Reactor, address: Address, forwarder: Forwarder) -> None:
        """Raises OSError."""
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
        """Forget a connection that is closed."""
        self.connections.discard(connection)

    def _check_timeouts(self) -> None:
        self.reactor.after(TIMEOUT_CHECK_US, self._check_timeouts)
        now, limits = self.reactor.now(), self.forwarder.config.limits
        for connection in list(self.connections):
            began_at = connection.head_began_at
            if connection.is_idle and now - connection.quiet_since > limits.idle_timeout_us + TIMEOUT_CHECK_US:
                connection.close()
            elif began_at is not None and now - began_at > limits.header_timeout_us + TIMEOUT_CHECK_US:
                connection.time_out_head()

    def start_draining(self) -> None:
        """Answer the requests that are in flight and close their connections with the last response.

        What comes behind them is not read; its client sends it elsewhere. A request that comes later is the only one of
        its connection.
        """
        self.is_draining = True
        for connection in self.connections:
            connection.start_draining()

    @property
    def has_unsent(self) -> bool:
        """Whether a client has not taken all that was sent to it."""
        return any(connection.unsent for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections on which nothing is in flight, each once its client has taken its responses."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()
