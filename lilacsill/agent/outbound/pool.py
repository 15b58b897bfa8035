"""Connections to backends, opened within the descriptor limit and reused if that is safe."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from httptools import HttpResponseParser

from lilacsill.balancing.interface import BackendId
from lilacsill.clock import Clock
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.timers import Timer

from ..admission.descriptor_account import DescriptorAccount, Side
from ..descriptors import EXHAUSTED
from ..discovery.listing import Member

IDLE_TIMEOUT_SHARE = 0.7  # of the idle time-out of the backends, after which the pool closes an idle connection
REUSE_DELAY_US = 2_000  # idle time before reuse: bytes that follow a response without belonging to it arrive within it
MAX_RESPONSE_BYTES = 40 * 1024 * 1024  # responses of 32 MB occur


class ConnectionUser(Protocol):
    """The exchange that uses a connection."""

    def on_response(self, response: Message) -> None:
        """Handle a complete response."""

    def on_part(self, response: Message) -> None:
        """Handle the head and a part of the body of a response."""

    def on_written(self) -> None:
        """Handle that the kernel has accepted all bytes sent."""

    def on_invalid_response(self) -> None:
        """Handle bytes that are not a valid response; the connection is still open."""

    def on_end(self) -> None:
        """Handle that the backend has closed the connection."""


class UpstreamConnection(Connection):
    """A connection to a backend, idle or used by one exchange."""

    def __init__(self, pool: Pool, member: Member) -> None:
        super().__init__()
        self.member, self._pool = member, pool
        self._reader = Reader(HttpResponseParser, MAX_RESPONSE_BYTES, until_close=True)
        self.user: ConnectionUser | None = None
        self.reusable = True  # all received bytes belong to responses to its requests
        self.idle_since = 0
        self.evicted = False  # its descriptor is already counted as closing
        self.idle_timer: Timer | None = None

    def on_data(self, data: bytes) -> None:
        """Parse a response; bytes that belong to no response make the connection unusable."""
        if self.user is None:
            # No request is in flight: these bytes must not be taken for the response to the next one.
            self._pool.discard(self)
            return
        complete = self._reader.feed(data)
        if complete:
            has_extra_bytes = len(complete) > 1 or self._reader.current is not None or self._reader.error is not None
            self.reusable = complete[0].keep_alive and not has_extra_bytes
            self.user.on_response(complete[0])
        elif self._reader.error is not None:
            self.reusable = False
            self.user.on_invalid_response()
        elif self._reader.current is not None and self._reader.in_body:
            self.user.on_part(self._reader.current)

    def flushed(self) -> None:
        """Notify the exchange that all bytes are written."""
        super().flushed()
        if self.user is not None:
            self.user.on_written()

    def on_fault(self) -> None:
        """Handle a fault while reading like an invalid response."""
        self.reusable = False
        if self.user is not None:
            self.user.on_invalid_response()
        self._pool.discard(self)

    def on_end(self) -> None:
        """Complete a response that ends with its connection, or report the end to the exchange."""
        self.closed = True
        in_order = self.stream is not None and not self.stream.reset
        response = self._reader.close() if in_order and self.user is not None else None
        if response is not None and self.user is not None:
            self.user.on_response(response)
        elif self.user is not None:
            self.user.on_end()
        else:
            self._pool.discard(self)

    def connection_lost(self) -> None:
        """Release the parser and the descriptor."""
        super().connection_lost()
        self._reader.end()
        self._pool.connection_lost(self)

    def is_usable(self) -> bool:
        """Return whether an idle connection is open, as far as the kernel knows.

        If it has anything to read, the backend has closed it or sent bytes that belong to no response.
        """
        return not self.closed and self.nothing_to_read()


class Reservation:
    """A descriptor reserved for one connection that is about to be opened."""

    def __init__(self, descriptors: DescriptorAccount) -> None:
        self._descriptors = descriptors
        descriptors.acquire(Side.UPSTREAM)
        self.used = False  # passed to a connection, which releases it when it closes, or released

    def release(self, *_: object) -> None:
        """Release the descriptor, unless a connection uses it."""
        if not self.used:
            self.used = True
            self._descriptors.release(Side.UPSTREAM)


class Pool:
    """The connections to all backends.

    Attributes:
        evict_downstream: Closes a client connection if both sides are full; returns whether one was closed.
        descriptors_exhausted: Called with the purpose of a descriptor when the kernel had none.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_us: int,
        conn_idle_us: int,
        descriptors: DescriptorAccount,
        reuse_delay_us: int = REUSE_DELAY_US,
    ) -> None:
        self._clock = clock
        self._connect_s = connect_timeout_us / 1e6
        self._idle_us = int(conn_idle_us * IDLE_TIMEOUT_SHARE)
        self._reuse_delay_us = reuse_delay_us
        self._descriptors = descriptors
        self.evict_downstream: Callable[[], bool] = lambda: False
        self.descriptors_exhausted: Callable[[str], None] = lambda purpose: None
        self._idle: dict[BackendId, list[UpstreamConnection]] = {}

    def reserve(self, known: bool) -> Reservation | None:
        """Reserve a descriptor for one more connection, to pass to `open`; None: none is available.

        If all are in use, the longest idle connection to a backend is closed, or a client connection without a request
        in flight if the clients use more than their floor.

        Args:
            known: Whether the connection is for a request of a known client.
        """
        if not self._descriptors.has_room_for_attempt(known) and not self._free_descriptor():
            return None
        return Reservation(self._descriptors)

    def _free_descriptor(self) -> bool:
        if self.has_idle() and self._descriptors.may_close:
            self.close_longest_idle()
            return True
        return self.evict_downstream()

    def has_idle(self) -> bool:
        """Return whether there is an idle connection to a backend."""
        return any(self._idle.values())

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest.

        Its descriptor counts as closing at once; the kernel frees it in the next iteration of the event loop.
        """
        longest = min((idle[0] for idle in self._idle.values() if idle), key=lambda c: c.idle_since)
        longest.evicted = True
        self._descriptors.start_closing(Side.UPSTREAM)
        self.discard(longest)

    def open(
        self,
        member: Member,
        reservation: Reservation,
        on_connected: Callable[[UpstreamConnection], None],
        on_failed: Callable[[OSError], None],
    ) -> ConnectAttempt:
        """Return an attempt to open a connection; call its `begin` to start it.

        Exactly one of the callbacks is called. The reservation is used by the connection, or released on failure.
        """

        def fail(error: OSError) -> None:
            reservation.release()
            if error.errno in EXHAUSTED:
                self.descriptors_exhausted("a connection to a backend")
            on_failed(error)

        def attach(sock: socket.socket) -> None:
            connection = UpstreamConnection(self, member)
            try:
                connection.attach(sock)
            except OSError as error:
                sock.close()
                fail(error)
                return
            reservation.used = True
            on_connected(connection)

        return ConnectAttempt(self._clock, member.address, self._connect_s, attach, fail)

    def connection_lost(self, connection: UpstreamConnection) -> None:
        """Record that a connection is closed and its descriptor is free."""
        if connection.evicted:
            self._descriptors.finish_closing()
        else:
            self._descriptors.release(Side.UPSTREAM)

    def take(self, member: Member) -> UpstreamConnection | None:
        """Return the most recently used idle connection that is safe to reuse; None: there is none."""
        idle = self._idle.get(member.backend.id)
        reusable_since = self._clock.now() - self._reuse_delay_us
        not_yet_reusable: list[UpstreamConnection] = []
        found: UpstreamConnection | None = None
        while idle and found is None:
            connection = idle.pop()
            if connection.idle_since > reusable_since:
                not_yet_reusable.append(connection)
            elif member.same_process(connection.member) and connection.is_usable():
                found = connection
                if connection.idle_timer is not None:
                    connection.idle_timer.cancel()
            else:
                self.discard(connection)
        if idle is not None:
            idle.extend(reversed(not_yet_reusable))
        return found

    def release(self, connection: UpstreamConnection, answered: bool, ready: Member | None) -> None:
        """Keep a connection for reuse if its exchange ended normally; close it otherwise.

        Args:
            connection: The connection.
            answered: Whether the exchange received a complete response.
            ready: The current member of the backend; None: it accepts no requests.
        """
        connection.user = None
        if (
            not answered
            or not connection.reusable
            or connection.closed
            or not connection.written
            or not connection.member.same_process(ready)
        ):
            self.discard(connection)
            return
        connection.idle_since = self._clock.now()
        connection.idle_timer = self._clock.after(self._idle_us, self.discard, connection)
        self._idle.setdefault(connection.member.backend.id, []).append(connection)

    def close_idle(self, backend: BackendId) -> None:
        """Close the idle connections of a backend."""
        for connection in self._idle.pop(backend, []):
            self.discard(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for backend in list(self._idle):
            self.close_idle(backend)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection, idle or not."""
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        backend = connection.member.backend.id
        idle = self._idle.get(backend)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(backend, None)
        connection.drop()
