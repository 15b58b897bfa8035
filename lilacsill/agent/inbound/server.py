"""The application's side: carries out what admission decides, and takes leave of the clients in order."""

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
from ..descriptors import Spare
from ..watermarks import Watermarks
from .accept import AcceptLoop, inherited, listen
from .downstream import DownstreamConnection, RequestHandler, Validator
from .leave import POLL_S, DrainTimes, Leave
from .refusals import Refusals

SWEEP_S = 0.25  # all time limits of connections are looked at together, so far apart
TICK_S = 0.002
RESTED_US = 100_000  # idle for so long before it is closed in a drain: one just accepted or answered is about to ask


class IdleUpstreams(Protocol):
    """The connections to backends, as far as this side may have one of them."""

    def has_idle(self) -> bool: ...

    def close_longest_idle(self) -> None: ...


class Server:
    """Listens for the application."""

    def __init__(
        self,
        validator: Validator,
        most_advice_s: float,
        handler: RequestHandler,
        gate: AdmissionController,
        clock: Clock,
        spare: Spare,
        upstreams: IdleUpstreams,
        limit: Callable[[], int],
        refusing: int,
        marks: Watermarks,
        sweep_s: float = SWEEP_S,
    ) -> None:
        self.handler = handler
        self.validator = validator
        self.gate, self._clock, self._spare = gate, clock, spare
        self._upstreams, self._limit = upstreams, limit
        self._loop = asyncio.get_running_loop()
        self._sweep_s = sweep_s
        self.marks = marks
        self._sweeping: asyncio.TimerHandle | None = None
        self._timing = False
        self._most_advice_s = most_advice_s  # 0: a refusal carries none
        self.connections: dict[ConnectionRecord, DownstreamConnection] = {}
        self.open_request_ids: set[bytes] = set()  # of the requests in hand
        self.leave = Leave(self._close_idle)
        self.succeeded = False  # another process of the agent accepts, and this one no more
        self.refusals = Refusals(refusing)
        self._accepting: AcceptLoop | None = None

    def make_connection(self, record: ConnectionRecord) -> DownstreamConnection:
        return DownstreamConnection(self, record)

    def listen(self, address: Address, shared: bool = False, descriptor: int | None = None) -> int:
        """Returns the port, for an address whose port is 0. `shared`: with other processes. `descriptor`: of a listener
        that is there already. Raises OSError."""
        sock = listen(address.host, address.port, shared) if descriptor is None else inherited(descriptor)
        port = int(sock.getsockname()[1])
        self._accepting = AcceptLoop(sock, self._spare, self._accepted, self.short_of_descriptors, self.accepts_more)
        self._accepting.start()
        self._sweep()
        return port

    @property
    def draining(self) -> bool:
        """Answers ask the client to close."""
        return self.leave.on

    @property
    def healthy(self) -> bool:
        """Whether clients may go on being sent to the agent: its other process takes them, where there is one."""
        return self.succeeded or not self.leave.on

    # Arrivals

    def accepts_more(self) -> bool:
        """Whether another connection may be accepted in this turn of the loop."""
        return True

    def _accepted(self, sock: socket.socket, host: str, tight: bool) -> None:
        """Decided on the peer's address, before anything is allocated for the connection."""
        if self.gate.watches_lag and not self._timing:
            self._timing = True
            due = self._loop.time() + TICK_S
            self._loop.call_at(due, self._tick, due)
        decision = self.gate.admit(host, self._clock.now(), self._fit, self._upstreams.has_idle)
        if not isinstance(decision, Admitted):
            self.refusals.refuse(sock, min(decision.retry_after_s, self._most_advice_s), may_wait=not tight)
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
            return self.connection_closed(connection)
        assert connection.stream is not None
        connection.stream.receive()  # a client that asks as soon as it has connected has asked already

    def _tick(self, due: float) -> None:
        """How late this comes is how far the loop is behind. Timed only while connections arrive."""
        self._timing = False
        self.gate.record_lag(self._clock.now(), int((self._loop.time() - due) * 1e6))

    def _fit(self, record: ConnectionRecord) -> bool:
        """Whether this connection can be closed now without harm."""
        return self.connections[record].may_make_way

    def make_way_for_upstream(self) -> bool:
        """Close a connection here so that one to a backend can be opened."""
        record = self.gate.evict_for_upstream(self._clock.now(), self._fit)
        if record is None:
            return False
        self.connections[record].drop()
        return True

    def short_of_descriptors(self, what: str, needs: int = 0) -> None:
        """The kernel had none for this; the next sweep frees so many."""
        self.gate.descriptors_exhausted(self._clock.now(), what, needs)

    # The life of a connection

    def entered(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        self.gate.state_changed(connection.record, state, self._clock.now())

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        return self.gate.keeps_alive(connection.record)

    def served(self, connection: DownstreamConnection) -> None:
        self.gate.request_served(connection.record, self._clock.now())

    def connection_closed(self, connection: DownstreamConnection) -> None:
        if self.connections.pop(connection.record, None) is not None:
            self.gate.connection_closed(connection.record)

    def _sweep(self) -> None:
        """Close or answer what has stayed as it is for too long, and see to the limit of descriptors."""
        self._sweeping = self._loop.call_later(self._sweep_s, self._sweep)
        self._spare.regain()
        now = self._clock.now()
        self.gate.poll(now, self._limit())
        while (record := self.gate.evict_over_limit(now, self._fit)) is not None:
            self.connections[record].drop()
        for record in self.gate.connections.expired(now):
            self.connections[record].expire()

    # The end

    def send_away(self, idle_s: float) -> None:
        """An operator's drain: goes on until `take_back`, and ends nothing but connections."""
        self.leave.begin(idle_s)

    def take_back(self) -> None:
        self.leave.end()

    def hand_over(self) -> None:
        """Another process of the agent takes what is not accepted yet, and all that comes."""
        self.succeeded = True
        if self._accepting is not None:
            self._accepting.stop()

    async def drain(self, times: DrainTimes) -> None:
        """Take leave of the clients: nothing that was taken is lost."""
        loop = self._loop
        began = loop.time()
        # A request that crosses the close of an idle connection is sent again on a new one; these still come.
        self.leave.begin(times.idle_s, final=True)
        await asyncio.sleep(times.serve_s)
        while self.connections and loop.time() < began + times.end_s:
            await asyncio.sleep(POLL_S)
        self.handler.fail_all()
        while any(not c.written for c in self.connections.values()) and loop.time() < began + times.end_s + POLL_S:
            await asyncio.sleep(POLL_S / 10)
        # Open to the end: closing it resets what has come in and is not accepted yet.
        self.stop()

    def stop(self) -> None:
        if self._sweeping is not None:
            self._sweeping.cancel()
        self.leave.stop()
        if self._accepting is not None:
            self._accepting.stop()
        with suppress(OSError):
            self.refusals.close()
        self._spare.release()

    def _close_idle(self) -> None:
        rested = self._clock.now() - RESTED_US
        for connection in [c for c in self.connections.values() if c.record.state_since <= rested and c.idle]:
            connection.close()
