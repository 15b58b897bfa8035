"""Connections to backends: opened within a limit, kept for reuse while they can be trusted."""

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

IDLE_SHARE = 0.7  # of the time after which a backend closes an idle connection; then it is retired here
SETTLE_US = 2_000  # not used again till then: bytes that do not belong to an answer come right behind it
ANSWER_BYTES = 40 * 1024 * 1024  # they come with 32 MB; one that claims more is spoilt


class ConnectionUser(Protocol):
    """Who has the connection in hand."""

    def on_answer(self, answer: Message) -> None: ...

    def on_part(self, answer: Message) -> None:
        """Its head has come, and some of its body."""

    def on_written(self) -> None:
        """All that was sent is with the kernel."""

    def on_spoilt(self) -> None:
        """What comes is no answer that can be used; the connection is still open."""

    def on_end(self) -> None:
        """The backend has closed it."""


class UpstreamConnection(Connection):
    """A connection to a backend; idle, or in the hands of one exchange."""

    def __init__(self, pool: Pool, member: Member) -> None:
        super().__init__()
        self.member, self._pool = member, pool
        self._reader = Reader(HttpResponseParser, ANSWER_BYTES, until_close=True)
        self.user: ConnectionUser | None = None
        self.clean = True  # nothing has come but the answers that were answered for, and it may be used again
        self.idle_since = 0
        self.making_way = False  # its descriptor is no longer counted as open
        self.retire: Timer | None = None

    def on_data(self, data: bytes) -> None:
        if self.user is None:
            # No one answered: whatever it is, it must not become the answer to the next request.
            return self._pool.discard(self)
        whole = self._reader.feed(data)
        if whole:
            more = len(whole) > 1 or self._reader.current is not None or self._reader.error is not None
            self.clean = whole[0].keep_alive and not more
            self.user.on_answer(whole[0])
        elif self._reader.error is not None:
            self.clean = False
            self.user.on_spoilt()
        elif self._reader.current is not None and self._reader.in_body:
            self.user.on_part(self._reader.current)

    def flushed(self) -> None:
        super().flushed()
        if self.user is not None:
            self.user.on_written()

    def on_fault(self) -> None:
        self.clean = False
        if self.user is not None:
            self.user.on_spoilt()
        self._pool.discard(self)

    def on_end(self) -> None:
        self.closed = True
        in_order = self.stream is not None and not self.stream.reset
        whole = self._reader.close() if in_order and self.user is not None else None
        if whole is not None and self.user is not None:
            self.user.on_answer(whole)
        elif self.user is not None:
            self.user.on_end()
        else:
            self._pool.discard(self)

    def connection_lost(self) -> None:
        super().connection_lost()
        self._reader.end()
        self._pool.lost(self)

    def usable(self) -> bool:
        """Idle and, as far as the kernel knows, open: one with anything to read was closed by the peer, or
        holds what no one answered for."""
        return not self.closed and self.nothing_to_read()


class Reservation:
    """A descriptor taken for one connection that is about to be opened."""

    def __init__(self, ledger: DescriptorAccount) -> None:
        self._ledger = ledger
        ledger.acquire(Side.UPSTREAM)
        self.used = False  # by a connection, whose end gives the descriptor back

    def release(self, *_: object) -> None:
        """Whatever became of the opening, also where it never began."""
        if not self.used:
            self.used = True
            self._ledger.release(Side.UPSTREAM)


class Pool:
    """The connections to all backends."""

    def __init__(
        self,
        clock: Clock,
        connect_timeout_us: int,
        conn_idle_us: int,
        ledger: DescriptorAccount,
        settle_us: int = SETTLE_US,
    ) -> None:
        self._clock = clock
        self._connect_s = connect_timeout_us / 1e6
        self._idle_us = int(conn_idle_us * IDLE_SHARE)
        self._settle_us = settle_us
        self._ledger = ledger
        self.downstream_makes_way: Callable[[], bool] = lambda: False  # where both sides are full
        self.short_of_descriptors: Callable[[str], None] = lambda what: None
        self._idle: dict[BackendId, list[UpstreamConnection]] = {}

    def reserve(self, known: bool) -> Reservation | None:
        """Take a descriptor for one more connection, which `open` then uses; the longest idle one makes way, or
        a client between two requests where the clients hold more than their floor. None: there is none."""
        if not self._ledger.has_room_for_attempt(known) and not self._make_way():
            return None
        return Reservation(self._ledger)

    def _make_way(self) -> bool:
        if self.has_idle() and self._ledger.may_close:
            self.close_longest_idle()
            return True
        return self.downstream_makes_way()

    def has_idle(self) -> bool:
        return any(self._idle.values())

    def close_longest_idle(self) -> None:
        """Its descriptor is given away at once; the kernel frees it a turn later."""
        longest = min((kept[0] for kept in self._idle.values() if kept), key=lambda c: c.idle_since)
        longest.making_way = True
        self._ledger.start_closing(Side.UPSTREAM)
        self.discard(longest)

    def open(
        self,
        member: Member,
        reservation: Reservation,
        opened: Callable[[UpstreamConnection], None],
        failed: Callable[[OSError], None],
    ) -> ConnectAttempt:
        """A connection that `begin` opens. One of the two hears what became of it; the reservation is seen to."""

        def could_not(e: OSError) -> None:
            reservation.release()
            if e.errno in EXHAUSTED:
                self.short_of_descriptors("a connection to a backend")
            failed(e)

        def connected(sock: socket.socket) -> None:
            connection = UpstreamConnection(self, member)
            try:
                connection.attach(sock)
            except OSError as e:
                sock.close()
                return could_not(e)
            reservation.used = True
            opened(connection)

        return ConnectAttempt(self._clock, member.address, self._connect_s, connected, could_not)

    def lost(self, connection: UpstreamConnection) -> None:
        """Its descriptor is free."""
        if connection.making_way:
            self._ledger.finish_closing()
        else:
            self._ledger.release(Side.UPSTREAM)

    def take(self, member: Member) -> UpstreamConnection | None:
        """The idle connection used last, if there is one that can be trusted."""
        kept = self._idle.get(member.backend.id)
        rested = self._clock.now() - self._settle_us
        resting: list[UpstreamConnection] = []
        found: UpstreamConnection | None = None
        while kept and found is None:
            connection = kept.pop()
            if connection.idle_since > rested:
                resting.append(connection)
            elif member.same_process(connection.member) and connection.usable():
                found = connection
                if connection.retire is not None:
                    connection.retire.cancel()
            else:
                self.discard(connection)
        if kept is not None:
            kept.extend(reversed(resting))
        return found

    def release(self, connection: UpstreamConnection, answered: bool, ready: Member | None) -> None:
        """Keep a connection whose exchange is over in good order; close any other."""
        connection.user = None
        if (
            not answered
            or not connection.clean
            or connection.closed
            or not connection.written
            or not connection.member.same_process(ready)
        ):
            return self.discard(connection)
        connection.idle_since = self._clock.now()
        connection.retire = self._clock.after(self._idle_us, self.discard, connection)
        self._idle.setdefault(connection.member.backend.id, []).append(connection)

    def forget(self, backend: BackendId) -> None:
        """Close its idle connections."""
        for connection in self._idle.pop(backend, []):
            self.discard(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for backend in list(self._idle):
            self.forget(backend)

    def discard(self, connection: UpstreamConnection) -> None:
        if connection.retire is not None:
            connection.retire.cancel()
        backend = connection.member.backend.id
        kept = self._idle.get(backend)
        if kept is not None and connection in kept:
            kept.remove(connection)
        if not kept:
            self._idle.pop(backend, None)
        connection.drop()
