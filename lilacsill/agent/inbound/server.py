"""The server for the application: carries out admission decisions, and drains connections before a stop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from lilacsill.address import Address
from lilacsill.clock import Clock

from ..admission.connections import ConnectionRecord
from ..admission.controller import AdmissionController, Admitted
from ..admission.policy import ConnectionState
from ..descriptors import SpareDescriptor
from ..watermarks import Watermarks
from .accept import AcceptLoop, adopt_listener, create_listener
from .downstream import DownstreamConnection, RequestHandler, Validator
from .draining import POLL_S, Drain, DrainTimes
from .refused_connections import RefusedConnections

SWEEP_S = 0.25  # interval at which the time-outs of all connections are checked
LAG_PROBE_S = 0.002  # delay of the timer that measures the lag of the event loop
# Idle time before a drain closes a connection: a client that just connected or got a response may send a request.
MIN_IDLE_US = 100_000


class IdleUpstreams(Protocol):
    """The idle connections to backends, one of which may be closed for a client connection."""

    def has_idle(self) -> bool:
        """Return whether there is an idle connection to a backend."""

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest."""


class Server:
    """The listener and all downstream connections.

    Invariant: a connection is in `connections` from its admission until its descriptor is free.
    """

    def __init__(
        self,
        validator: Validator,
        max_retry_after_s: float,
        handler: RequestHandler,
        admission: AdmissionController,
        clock: Clock,
        spare: SpareDescriptor,
        upstreams: IdleUpstreams,
        descriptor_limit: Callable[[], int],
        max_refusals: int,
        watermarks: Watermarks,
        sweep_s: float = SWEEP_S,
    ) -> None:
        self.handler = handler
        self.validator = validator
        self.admission, self._clock, self._spare = admission, clock, spare
        self._upstreams, self._descriptor_limit = upstreams, descriptor_limit
        self._loop = asyncio.get_running_loop()
        self._sweep_s = sweep_s
        self.watermarks = watermarks
        self._next_sweep: asyncio.TimerHandle | None = None
        self._is_measuring_lag = False
        self._max_retry_after_s = max_retry_after_s  # upper limit for refusals; 0: refusals have no Retry-After
        self.connections: dict[ConnectionRecord, DownstreamConnection] = {}
        self.open_request_ids: set[bytes] = set()  # Request-Ids of the requests in flight
        self._drain = Drain(self._close_idle)
        self.has_successor = False  # another process of the agent accepts connections instead of this one
        self.refused = RefusedConnections(max_refusals)
        self._accept_loop: AcceptLoop | None = None

    def make_connection(self, record: ConnectionRecord) -> DownstreamConnection:
        """Return a new connection for an admission record."""
        return DownstreamConnection(self, record)

    def listen(self, address: Address, shared: bool = False, descriptor: int | None = None) -> int:
        """Start to listen, and return the port.

        Args:
            address: The address to listen on; port 0: any free port.
            shared: Whether other processes listen on the same address.
            descriptor: The descriptor of an inherited listener, used instead of the address.

        Raises:
            OSError: The address cannot be bound, or the descriptor is not a listening socket.
        """
        sock = create_listener(address.host, address.port, shared) if descriptor is None else adopt_listener(descriptor)
        port = int(sock.getsockname()[1])
        self._accept_loop = AcceptLoop(
            sock, self._spare, self._on_accepted, self.descriptors_exhausted, self.may_accept_more
        )
        self._accept_loop.start()
        self._sweep()
        return port

    @property
    def is_draining(self) -> bool:
        """Whether responses announce the close of the connection."""
        return self._drain.is_active

    @property
    def is_healthy(self) -> bool:
        """Whether the agent serves requests: this process does not drain, or a successor process accepts instead."""
        return self.has_successor or not self._drain.is_active

    # New connections

    def may_accept_more(self) -> bool:
        """Return whether another connection may be accepted in this event loop iteration."""
        return True

    def _on_accepted(self, sock: socket.socket, host: str, on_spare: bool) -> None:
        # Admission needs only the peer's address, and decides before anything is allocated for the connection.
        if self.admission.watches_lag and not self._is_measuring_lag:
            self._is_measuring_lag = True
            due_s = self._loop.time() + LAG_PROBE_S
            self._loop.call_at(due_s, self._measure_lag, due_s)
        decision = self.admission.admit(host, self._clock.now(), self._can_evict, self._upstreams.has_idle)
        if not isinstance(decision, Admitted):
            self.refused.refuse(sock, min(decision.retry_after_s, self._max_retry_after_s), may_wait=not on_spare)
            return
        if decision.evicted is not None:
            self.connections[decision.evicted].drop()
        if decision.closes_idle_upstream:
            self._upstreams.close_longest_idle()
        sock.setblocking(False)
        connection = self.make_connection(decision.record)
        self.connections[decision.record] = connection
        try:
            connection.attach(sock)
        except OSError:
            sock.close()
            self.connection_closed(connection)
            return
        assert connection.stream is not None
        connection.stream.receive()  # most clients have already sent their request

    def _measure_lag(self, due_s: float) -> None:
        # The delay of this call is the event loop lag. It is measured only while connections arrive.
        self._is_measuring_lag = False
        self.admission.record_lag(self._clock.now(), int((self._loop.time() - due_s) * 1e6))

    def _can_evict(self, record: ConnectionRecord) -> bool:
        return self.connections[record].can_evict

    def evict_for_upstream(self) -> bool:
        """Close a client connection to free a descriptor for a backend; return whether one was closed."""
        record = self.admission.evict_for_upstream(self._clock.now(), self._can_evict)
        if record is None:
            return False
        self.connections[record].drop()
        return True

    def descriptors_exhausted(self, purpose: str, needs: int = 0) -> None:
        """Report to admission that the kernel failed to provide a descriptor.

        Args:
            purpose: The purpose of the descriptor, for the log.
            needs: The number of descriptors that the next sweep frees for this purpose.
        """
        self.admission.descriptors_exhausted(self._clock.now(), purpose, needs)

    # Connection events (ConnectionOwner)

    def state_changed(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Record the new state of a connection."""
        self.admission.state_changed(connection.record, state, self._clock.now())

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        """Return whether the connection stays open after the response that is sent now."""
        return self.admission.keeps_alive(connection.record)

    def request_served(self, connection: DownstreamConnection) -> None:
        """Record that a successful response is sent."""
        self.admission.request_served(connection.record, self._clock.now())

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Record that a connection is closed and its descriptor is free."""
        if self.connections.pop(connection.record, None) is not None:
            self.admission.connection_closed(connection.record)

    def _sweep(self) -> None:
        # Applies the time-outs of connections, and evicts connections above a lowered descriptor limit.
        self._next_sweep = self._loop.call_later(self._sweep_s, self._sweep)
        self._spare.reacquire()
        now = self._clock.now()
        self.admission.poll(now, self._descriptor_limit())
        while (record := self.admission.evict_over_limit(now, self._can_evict)) is not None:
            self.connections[record].drop()
        for record in self.admission.connections.expired(now):
            self.connections[record].expire()

    # Draining

    def start_drain(self, idle_s: float) -> None:
        """Start an operator's drain: close connections after their response, idle ones after `idle_s` seconds."""
        self._drain.begin(idle_s)

    def cancel_drain(self) -> None:
        """End an operator's drain."""
        self._drain.cancel()

    def hand_over(self) -> None:
        """Close this listener, after which another process of the agent accepts all connections."""
        self.has_successor = True
        if self._accept_loop is not None:
            self._accept_loop.stop()

    async def drain(self, times: DrainTimes) -> None:
        """Drain client connections and stop; every accepted request is answered."""
        loop = self._loop
        began_s = loop.time()
        # A client whose request is in transit when its idle connection closes can retry on a new connection.
        self._drain.begin(times.idle_s, final=True)
        await asyncio.sleep(times.serve_s)
        while self.connections and loop.time() < began_s + times.end_s:
            await asyncio.sleep(POLL_S)
        self.handler.fail_all()
        while any(not c.written for c in self.connections.values()) and loop.time() < began_s + times.end_s + POLL_S:
            await asyncio.sleep(POLL_S / 10)
        # The listener stays open until the end, because closing it resets connections that are not accepted yet.
        self.stop()

    def stop(self) -> None:
        """Stop sweeping and draining, and close the listener and the refused connections."""
        if self._next_sweep is not None:
            self._next_sweep.cancel()
        self._drain.stop()
        if self._accept_loop is not None:
            self._accept_loop.stop()
        with suppress(OSError):
            self.refused.close()
        self._spare.release()

    def _close_idle(self) -> None:
        idle_since = self._clock.now() - MIN_IDLE_US
        for connection in [c for c in self.connections.values() if c.record.state_since <= idle_since and c.is_idle]:
            connection.close()
