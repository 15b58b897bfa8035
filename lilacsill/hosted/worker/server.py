"""The listener of a worker: it shares the core between the tenants' connections by a fair queue."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from time import perf_counter_ns

from lilacsill.agent.admission.connections import ConnectionRecord
from lilacsill.agent.admission.controller import AdmissionController
from lilacsill.agent.descriptors import SpareDescriptor
from lilacsill.agent.inbound.downstream import DownstreamConnection
from lilacsill.agent.inbound.server import IdleUpstreams, Server
from lilacsill.agent.watermarks import Watermarks

from ...clock import Clock
from .connection import TenantConnection
from .router import TenantRouter
from .tenancy import ANONYMOUS, Tenancy, refused_flow

MAX_WAIT_US = 500_000
"""A connection waits so long for its share of the core; longer while many are overdue."""
MAX_REJECTIONS = 4
"""Overdue connections that one iteration of the event loop rejects: a thousand at once would delay the others."""


class TenantServer(Server):
    """The listener and the connections that wait.

    Invariant: each flow in `_waiting` waits in the fair queue.
    """

    accepting: TenantConnection
    """The connection whose request is being validated."""

    def __init__(
        self,
        tenancy: Tenancy,
        max_retry_after_s: float,
        admission: AdmissionController,
        clock: Clock,
        spare: SpareDescriptor,
        upstreams: IdleUpstreams,
        descriptor_limit: Callable[[], int],
        max_refusals: int,
        watermarks: Watermarks,
    ) -> None:
        router = TenantRouter(self, tenancy)
        super().__init__(
            router,
            max_retry_after_s,
            router,
            admission,
            clock,
            spare,
            upstreams,
            descriptor_limit,
            max_refusals,
            watermarks,
        )
        self.tenancy = tenancy
        self._waiting: dict[int, deque[TenantConnection]] = {}  # by flow
        # All waiting connections since when, oldest first, and some that wait no more.
        self._deadlines: deque[tuple[int, TenantConnection]] = deque()
        self._is_pump_scheduled = False
        self._read_us = 0.0  # by `charge_read`, in the accept that is running

    def make_connection(self, record: ConnectionRecord) -> DownstreamConnection:
        """Return a new connection for an admission record."""
        return TenantConnection(self, record)

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        """Return whether the answer that goes out now leaves the connection open."""
        assert isinstance(connection, TenantConnection)
        return not self.tenancy.is_leaving(connection.tenant) and super().keeps_alive(connection)

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Note that the descriptor of a connection is free."""
        if connection.record in self.connections and isinstance(connection, TenantConnection):
            self.tenancy.connection_closed(connection.tenant)
        super().connection_closed(connection)

    def close_idle_of(self, tenant: int) -> None:
        """Close the idle connections of a tenant that is being removed; the others close with their answers."""
        for connection in list(self.connections.values()):
            if isinstance(connection, TenantConnection) and connection.tenant == tenant and connection.is_idle:
                connection.close()

    def must_wait(self, connection: TenantConnection) -> bool:
        """Say whether other flows go first; the connection then waits, unread, until `_pump` continues it."""
        fair_queue, flow = self.tenancy.fair_queue, connection.flow
        if not fair_queue.is_ahead(flow):
            return False
        assert connection.stream is not None
        connection.waiting_since_us = self._clock.now()
        connection.stream.pause()
        self._waiting.setdefault(flow, deque()).append(connection)
        self._deadlines.append((connection.waiting_since_us, connection))
        fair_queue.wait(flow)
        self._schedule_pump()
        return True

    def charge_read(self, connection: TenantConnection, flow: int, cost_us: float, bytes_in: int) -> None:
        """Charge a flow for reading and validating.

        The first read of a connection is charged to the flow of all new ones, since its tenant was not known before.
        """
        self._read_us += cost_us
        self.tenancy.fair_queue.charge(flow, cost_us, self._clock.now())
        self.tenancy.record_read(connection.tenant, bytes_in, cost_us)

    def may_accept_more(self) -> bool:
        """Say whether to accept further connections in this iteration of the event loop.

        In a storm of new connections one is accepted in each iteration; the rest stays in the kernel's backlog.
        """
        return not self.tenancy.fair_queue.is_ahead(ANONYMOUS)

    def _on_accepted(self, sock: socket.socket, host: str, on_spare: bool) -> None:
        started_ns, self._read_us = perf_counter_ns(), 0.0
        super()._on_accepted(sock, host, on_spare)
        cost_us = (perf_counter_ns() - started_ns) / 1000 - self._read_us
        self.tenancy.fair_queue.charge(ANONYMOUS, cost_us, self._clock.now())

    def _schedule_pump(self) -> None:
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Continue one connection of the next flow.

        It runs once in each iteration of the event loop: connections that are readable and not ahead go first.
        """
        self._is_pump_scheduled = False
        fair_queue = self.tenancy.fair_queue
        flow = fair_queue.next_flow()
        if flow is not None:
            waiting = self._waiting.get(flow)  # None after `continue_all_of`
            while waiting and not waiting.popleft().continue_reading():
                pass
            if waiting:
                fair_queue.wait(flow)
            else:
                self._waiting.pop(flow, None)
        self._reject_overdue()
        if fair_queue.waiting:  # `next_flow` gave none while other flows used the core, which are behind
            self._schedule_pump()
        else:
            self._deadlines.clear()

    def _reject_overdue(self) -> None:
        overdue_us = self._clock.now() - MAX_WAIT_US
        deadlines, remaining = self._deadlines, MAX_REJECTIONS
        while deadlines and remaining:
            since_us, connection = deadlines[0]
            is_stale = connection.waiting_since_us != since_us
            if since_us >= overdue_us and not is_stale:
                return
            deadlines.popleft()
            if not is_stale:
                connection.reject_overdue()
                remaining -= 1

    def continue_all_of(self, tenant: int) -> None:
        """Read the waiting connections of a tenant that was removed, which are then refused or closed."""
        for flow in (tenant, refused_flow(tenant)):
            for connection in self._waiting.pop(flow, ()):
                connection.continue_reading()
