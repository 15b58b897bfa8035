"""Connections to the backend of this machine: one request at a time on each, and answers matched by `Attempt-Id`."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from httptools import HttpResponseParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_chunk, encode_request_head
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.timers import Timer

from .connection_age import Resting

CONNECT_US = 300_000  # it is on this machine
MOST = 100  # connections, before the configuration tells
IDLE_US = 4_000_000  # backends close idle ones after a time; a request on its way then would be lost
KEEP_PART = 0.5  # of the time that Keep-Alive gives
WHOLE = 64 * 1024  # a longer answer is passed on while it comes
BODY_LIMIT = 64 * 1024 * 1024
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)


class User(Protocol):
    """The request that is under way on a connection."""

    attempt_id: bytes
    is_head: bool
    repeatable: bool

    def on_answer(self, answer: Message) -> None:
        """Whole."""

    def on_part(self, answer: Message) -> None:
        """More of a long one has come; `answer.take_body()` has it."""

    def on_lost(self, why: str) -> None:
        """No (whole) answer will come; the request may have run."""


def passed_on(message: Message) -> Headers:
    """The header lines that concern more than one connection."""
    drop = HOP
    named = message.fields.get(b"connection")
    if named is not None and named.lower() not in (b"close", b"keep-alive"):
        drop = HOP | {n.strip().lower() for n in named.split(b",")}
    return [line for line in message.header_lines or [] if line[0].lower() not in drop]


class BackendConnection(Connection):
    """One connection."""

    def __init__(self, pool: Pool) -> None:
        super().__init__()
        self._pool = pool
        self._reader = Reader(HttpResponseParser, BODY_LIMIT, keep_header_lines=True)
        self.user: User | None = None
        self.idle_us = IDLE_US  # how long the backend lets it rest
        self.rests_since = self.rested_us = self.begun_at = 0
        self.reusable = True
        self.uploading = False  # some of the request's body is still to be sent

    def begin(
        self, user: User, method: bytes, target: bytes, headers: Headers, body: bytes, length: int, whole: bool
    ) -> None:
        self.user, self.uploading = user, not whole
        self.begun_at = self._pool.now()
        self.rested_us = self.begun_at - self.rests_since if self.rests_since else 0
        if length >= 0 and (length or method != b"GET"):
            headers = [*headers, (b"Content-Length", b"%d" % length)]
        elif length < 0:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
            body = (encode_chunk(body) if body else b"") + (encode_chunk(b"") if whole else b"")
        self.send(encode_request_head(method, target, headers) + body)

    def send_more(self, data: bytes, last: bool, chunked: bool) -> None:
        """Of the body."""
        if chunked:
            data = (encode_chunk(data) if data else b"") + (encode_chunk(b"") if last else b"")
        self.uploading = not last
        if data:
            self.send(data)

    def on_data(self, data: bytes) -> None:
        self.rested_us = 0  # it was not forgotten
        answers = self._reader.feed(data)
        for answer in answers:
            user = self.user
            if user is None:  # bytes on an idle connection belong to no request
                return self.drop()
            if answer.fields.get(b"attempt-id", b"") != user.attempt_id:
                continue  # an extra one, in the place of ours, which is still due
            self.user = None
            if not answer.keep_alive:
                self.reusable = False
            self.idle_us = self._idle_us(answer)
            if answer is answers[-1] and self._reader.current is None and self._reader.error is None:
                self._pool.release(self)  # before the next one begins that waits at the gate
            user.on_answer(answer)
        if self.closed or self.discarding:
            return
        if self._reader.error is not None:
            return self._lose("what came is no answer")
        current, user = self._reader.current, self.user
        if current is None:
            if user is None:
                self._pool.release(self)
        elif user is None:
            self.drop()  # the begin of something that nobody asked for
        elif self._reader.in_body and current.received > WHOLE:
            if current.fields.get(b"attempt-id", b"") != user.attempt_id:
                current.take_body()
            else:
                user.on_part(current)

    @staticmethod
    def _idle_us(answer: Message) -> int:
        for part in answer.fields.get(b"keep-alive", b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                return min(IDLE_US, int(int(value) * 1_000_000 * KEEP_PART))
        return IDLE_US

    def on_fault(self) -> None:
        self._lose("failed here")

    def on_end(self) -> None:
        self._lose("the connection ended")

    def _lose(self, why: str) -> None:
        user, self.user = self.user, None
        if user is not None:
            now = self._pool.now()
            self._pool.resting.lost(self.rested_us, now - self.begun_at, now)
        self._pool.forget(self)
        if not self.closed:
            self.drop()
        if user is not None:
            user.on_lost(why)


class Pool:
    """All connections to one backend. The latest used first, so that the others may be closed by time."""

    def __init__(self, reactor: Reactor, address: Address) -> None:
        self._reactor, self._address = reactor, address
        self.most = MOST  # the backend resets what is beyond that
        self.resting = Resting()
        self._idle: deque[BackendConnection] = deque()
        self.open: set[BackendConnection] = set()
        self._opening = 0
        self._sweep: Timer | None = None

    def now(self) -> int:
        return self._reactor.now()

    def take(
        self, repeatable: bool, taken: Callable[[BackendConnection], None], failed: Callable[[OSError], None]
    ) -> None:
        """For a request that holds a slot; where `most` are open, one of the idle ones among them is closed."""
        now = self.now()
        while self._idle:
            connection = self._idle[-1]
            if connection.open and now - connection.rests_since < self._limit_us(connection, True, now):
                if now - connection.rests_since > self._limit_us(connection, repeatable, now):
                    break  # good enough for a read that comes later; those below have rested longer
                self._idle.pop()
                if connection.nothing_to_read():
                    return taken(connection)
            self.forget(connection)
            connection.drop()
        while self._idle and len(self.open) + self._opening >= self.most:
            connection = self._idle[0]
            self.forget(connection)
            connection.drop()

        def opened(sock: socket.socket) -> None:
            self._opening -= 1
            connection = BackendConnection(self)
            try:
                connection.attach(sock)
            except OSError as e:
                sock.close()
                return failed(e)
            self.open.add(connection)
            taken(connection)

        def not_opened(e: OSError) -> None:
            self._opening -= 1
            failed(e)

        self._opening += 1
        connect(self._reactor, self._address, CONNECT_US, opened, not_opened)

    def _limit_us(self, connection: BackendConnection, repeatable: bool, now: int) -> int:
        return self.resting.limit_us(repeatable, connection.idle_us, now)

    def release(self, connection: BackendConnection) -> None:
        if connection in self._idle:
            return
        if connection.open and connection.reusable and connection.written and not connection.uploading:
            connection.rests_since = self.now()
            self._idle.append(connection)
            if self._sweep is None:
                self._sweep = self._reactor.after(IDLE_US, self._swept)
        else:
            self.forget(connection)
            connection.drop()

    def _swept(self) -> None:
        self._sweep = None
        now = self.now()
        for connection in [c for c in self._idle if now - c.rests_since >= self._limit_us(c, True, now)]:
            self.forget(connection)
            connection.drop()
        if self._idle:
            self._sweep = self._reactor.after(IDLE_US // 4, self._swept)

    def forget(self, connection: BackendConnection) -> None:
        self.open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def clear(self) -> None:
        """Another life has the address."""
        for connection in list(self._idle):
            self.forget(connection)
            connection.drop()
