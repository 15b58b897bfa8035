"""A client's connection to a worker, which is read when its flow may use the core."""

from __future__ import annotations

import socket
from time import perf_counter_ns
from typing import Protocol

from lilacsill.agent.admission.connections import ConnectionRecord
from lilacsill.agent.inbound.downstream import ConnectionOwner, DownstreamConnection
from lilacsill.http1.message import InvalidMessageError, Message

from ...net.stream import Stream
from ..decisions.refusals import RefusalCause
from .tenancy import ANONYMOUS, Tenancy

OVERDUE_RETRY_AFTER_S = 1.0
"""When a client that waited too long for its share of the core should retry."""


class FairStream(Stream):
    """A stream that is read only when its connection allows it."""

    __slots__ = ()

    def receive(self) -> None:
        """Read, unless the connection has to wait."""
        assert isinstance(self._handler, TenantConnection)
        if self._handler.may_read():
            super().receive()

    def receive_now(self) -> None:
        """Read at once; the connection has waited."""
        self.resume()
        super().receive()


class TenantConnectionOwner(ConnectionOwner, Protocol):
    """What all connections of a worker share."""

    accepting: TenantConnection  # the one whose request is being validated
    tenancy: Tenancy

    def must_wait(self, connection: TenantConnection) -> bool:
        """Say whether other flows go first; the connection then waits, unread."""

    def charge_read(self, connection: TenantConnection, flow: int, cost_us: float, bytes_in: int) -> None:
        """Charge a flow for reading and validating."""


class TenantConnection(DownstreamConnection):
    """A connection that belongs to the tenant whose credential it presented last."""

    stream: FairStream | None

    def __init__(self, server: TenantConnectionOwner, record: ConnectionRecord) -> None:
        super().__init__(server, record)
        self._server = server
        self.tenant = ANONYMOUS
        self.flow = ANONYMOUS  # the flow that is charged for reading it
        self.waiting_since_us: int | None = None  # while it waits nothing is read; TCP's window slows the client down

    def attach(self, sock: socket.socket) -> None:
        """Start to read from an accepted socket."""
        self.stream = FairStream(sock, self)

    def may_read(self) -> bool:
        """Say whether to read now; if not, the connection waits.

        While a request is in flight only the client's close can follow, which is read at once.
        """
        return self.discarding or self.has_request or not self._server.must_wait(self)

    def data_received(self, data: bytes) -> None:
        """Handle data of the client, and charge the flow that was known before it."""
        started_ns, flow = perf_counter_ns(), self.flow
        super().data_received(data)
        self._server.charge_read(self, flow, (perf_counter_ns() - started_ns) / 1000, len(data))

    def continue_reading(self) -> bool:
        """End the wait. Returns whether the connection still waited."""
        if self.waiting_since_us is None or self.stream is None or self.stream.closing:
            return False
        self.waiting_since_us = None
        self.stream.receive_now()
        return True

    def reject_overdue(self) -> None:
        """Refuse the request that waits, without reading it: no parsing, no routing."""
        self.waiting_since_us = None
        if self.stream is not None and self.open:
            self._server.tenancy.record_refusal(self.tenant, RefusalCause.CORE_SHARE)
            error = InvalidMessageError(503, "others go first")
            self._reject(error, [("Retry-After", f"{OVERDUE_RETRY_AFTER_S}")])
            self.stream.resume()

    def _accept_request(self, request: Message, body_timeout_us: int = 0) -> None:
        self._server.accepting = self
        super()._accept_request(request, body_timeout_us)
