"""Clients of this machine: HTTP/1.1, several requests ahead of their answers, which go back in order."""

from __future__ import annotations

import socket
from collections import deque

from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import REASON_PHRASES, Message, Reader, encode_chunk, origin_form
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.reactor import Reactor

from .forwarding import Forwarder, Forwarding

AHEAD = 16  # requests in hand on one connection
PILE = 128 * 1024
EARLY = 64 * 1024  # a longer body is passed on while it comes
RESUME_US = 5_000
LOOK_US = 500_000
LINGER_US = 1_000_000
WORDS = {
    **REASON_PHRASES,
    202: "Accepted",
    204: "No Content",
    206: "Partial Content",
    304: "Not Modified",
    412: "Precondition Failed",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    504: "Gateway Timeout",
}


class Turn:
    """One request's place on its connection."""

    __slots__ = ("connection", "request", "forwarding", "out", "done", "chunked", "is_cut")

    def __init__(self, connection: ClientConnection, request: Message) -> None:
        self.connection, self.request = connection, request
        self.forwarding: Forwarding | None = None
        self.out = bytearray()  # while others are before it
        self.done = self.chunked = self.is_cut = False

    # For `Forwarding`

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        bodiless = status in (204, 304) or self.request.method == b"HEAD"
        length = [] if status == 204 else [(b"Content-Length", b"%d" % len(body))]
        self._put(self._head(status, [*headers, *length]) + (b"" if bodiless else body), True)

    def begin(self, status: int, headers: Headers, length: int, body: bytes, forwarding: Forwarding) -> int:
        self.forwarding = forwarding
        self.chunked = length < 0
        line = (b"Transfer-Encoding", b"chunked") if self.chunked else (b"Content-Length", b"%d" % length)
        return self._put(self._head(status, [*headers, line]) + self._part(body), False)

    def piece(self, data: bytes, last: bool) -> int:
        return self._put(self._part(data) + (encode_chunk(b"") if last and self.chunked else b""), last)

    def cut(self) -> None:
        self.is_cut = True
        self._put(b"", True)

    def _part(self, data: bytes) -> bytes:
        return encode_chunk(data) if self.chunked and data else data

    def _head(self, status: int, headers: Headers) -> bytes:
        if self.connection.is_last(self):
            headers.append((b"Connection", b"close"))
        lines = b"".join(b"%b: %b\r\n" % line for line in headers)
        return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, WORDS.get(status, "").encode(), lines)

    def _put(self, data: bytes, last: bool) -> int:
        self.out += data
        self.done = self.done or last
        return self.connection.flush(self)


class ClientConnection(Connection):
    """One client's."""

    def __init__(self, clients: Clients) -> None:
        super().__init__()
        self._clients = clients
        self._reader = Reader(HttpRequestParser, clients.body_limit, keep_header_lines=True)
        self._turns: deque[Turn] = deque()
        self._ahead: deque[Message] = deque()
        self._upload: Turn | None = None  # whose body still comes
        self._ending = False  # an answer that closes is due or sent; what came behind it was not read
        self.quiet_since = clients.reactor.now()
        self.began_at = 0  # of a request whose head is not whole

    @property
    def idle(self) -> bool:
        return not self._turns and not self._ahead and self._reader.current is None

    def on_data(self, data: bytes) -> None:
        whole = self._reader.feed(data)
        if self._upload is not None:
            whole = self._go_on(self._upload, whole)
        self._ahead += whole
        self.quiet_since = self._clients.reactor.now()
        if self._reader.current is None or self._reader.in_body:
            self.began_at = 0
        elif not self.began_at:
            self.began_at = self.quiet_since
        self._take()
        current = self._reader.current
        if (
            current is not None
            and self._reader.in_body
            and current.received > EARLY
            and self._upload is None
            and not self._ahead
            and len(self._turns) < AHEAD
            and not self._ending
        ):
            self._begin_early(current)

    # A long body

    def _begin_early(self, request: Message) -> None:
        """It is passed on while it comes."""
        request.target = origin_form(request.target)
        turn = Turn(self, request)
        self._turns.append(turn)
        self._ending = not request.keep_alive or self._clients.leaving
        turn.forwarding = self._clients.forwarder.arrived(request, turn, whole=False)
        self._upload = turn

    def _go_on(self, turn: Turn, whole: list[Message]) -> list[Message]:
        request, ended = turn.request, bool(whole) and whole[0] is turn.request
        if turn.forwarding is not None and not turn.forwarding.over:
            turn.forwarding.more(request.take_body(), ended)
            if turn.forwarding.unsent > PILE and self.stream is not None:
                self.stream.pause()
                self._clients.reactor.after(RESUME_US, self._resume)
        else:
            request.take_body()
        if self._reader.error is not None and not ended:
            self._upload = None
            self._ending = True
            if turn.forwarding is not None:
                turn.forwarding.client_gone()
            if not turn.done and turn in self._turns:
                turn.answer(self._reader.error.status, [], b"")
        if not ended:
            return whole
        self._upload = None
        return whole[1:]

    def _resume(self) -> None:
        if (
            self._upload is not None
            and self._upload.forwarding is not None
            and self._upload.forwarding.unsent > PILE // 2
        ):
            self._clients.reactor.after(RESUME_US, self._resume)
        elif self.stream is not None:
            self.stream.resume()

    def _take(self) -> None:
        while self._ahead and len(self._turns) < AHEAD and not self._ending and not self.closed:
            request = self._ahead.popleft()
            request.target = origin_form(request.target)
            turn = Turn(self, request)
            self._turns.append(turn)
            if not request.keep_alive or self._clients.leaving:
                self._ending = True
            turn.forwarding = self._clients.forwarder.arrived(request, turn) or turn.forwarding
        if self.stream is not None:
            if len(self._ahead) > AHEAD:
                self.stream.pause()
            elif self._upload is None:
                self.stream.resume()
        error = self._reader.error
        if error is not None and not self._ahead and not self._ending and not self.closed:
            self._ending = True
            turn = Turn(self, Message())
            self._turns.append(turn)
            turn.answer(error.status, [], b"")

    def is_last(self, turn: Turn) -> bool:
        """Whether this answer closes the connection."""
        return self._ending and turn is self._turns[-1]

    def flush(self, turn: Turn) -> int:
        """Send what is in order. Returns what waits for the client."""
        if self.closed or self.stream is None:
            return 0
        while self._turns:
            first = self._turns[0]
            if first.out:
                self.send(bytes(first.out))
                first.out.clear()
                if not self.unsent and first.forwarding is not None:
                    first.forwarding.client_relieved()  # it may have been held up while others were before it
            if not first.done:
                break
            if first.is_cut:
                self.drop()
                break
            self._turns.popleft()
            self.quiet_since = self._clients.reactor.now()
            if self._ending and not self._turns:
                self._finish()
                break
        if not self.closed and len(self._turns) < AHEAD and self._ahead:
            self._clients.reactor.call_soon(self._take)
        return self.unsent + len(turn.out)

    def _finish(self) -> None:
        """The last answer is sent. What still comes is dropped: closing on unread bytes would reset it away."""
        self.discarding = True
        if self.stream is not None:
            self.stream.half_close()
        self._clients.reactor.after(LINGER_US, self.close)

    def flushed(self) -> None:
        super().flushed()
        if self._turns and self._turns[0].forwarding is not None:
            self._turns[0].forwarding.client_relieved()

    def on_fault(self) -> None:
        self.drop()

    def on_end(self) -> None:
        self._clients.connections.discard(self)
        for turn in self._turns:
            if turn.forwarding is not None:
                turn.forwarding.client_gone()
        self._turns.clear()
        self._ahead.clear()

    def leave(self) -> None:
        self._ending = self._ending or bool(self._turns)
        self._ahead.clear()

    def late_head(self) -> None:
        """It began a request and does not go on."""
        if self._ending or self._turns:
            return
        self._ending = True
        turn = Turn(self, Message())
        self._turns.append(turn)
        turn.answer(408, [], b"")


class Clients:
    """All of them."""

    def __init__(self, reactor: Reactor, address: Address, forwarder: Forwarder) -> None:
        """Raises OSError."""
        self.reactor, self.forwarder = reactor, forwarder
        self.leaving = False
        self.connections: set[ClientConnection] = set()
        self.listener = Listener(reactor, address, self._accepted)
        self._look()

    @property
    def body_limit(self) -> int:
        return self.forwarder.config.limits.max_body_bytes

    def _accepted(self, sock: socket.socket) -> None:
        connection = ClientConnection(self)
        connection.attach(sock)
        self.connections.add(connection)

    def _look(self) -> None:
        self.reactor.after(LOOK_US, self._look)
        now, limits = self.reactor.now(), self.forwarder.config.limits
        idle_us, head_us = limits.idle_timeout_us, limits.header_timeout_us
        for connection in list(self.connections):
            if connection.idle and now - connection.quiet_since > idle_us + LOOK_US:
                connection.close()
            elif connection.began_at and now - connection.began_at > head_us + LOOK_US:
                connection.late_head()

    def leave(self) -> None:
        """Answer what is taken, and close with the last answer: what comes behind it is not read, and is sent again. A
        request that is taken later is the only one of its connection."""
        self.leaving = True
        for connection in self.connections:
            connection.leave()

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.idle:
                connection.close()
