"""A connection between two processes of the mesh: messages in frames."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.net.stream import Stream

from .frames import BadFrame, Frames, frame
from .log_ring import log
from .messages import BadMessage, Message, decode, encode
from .reactor import Reactor

DEAD_MS = 1_500  # sent bytes that are not taken for so long: the peer is gone or cut off


class Link:
    """Hands on whole messages. `closed` comes once."""

    __slots__ = ("stream", "_frames", "on_message", "on_closed", "on_flushed", "over", "sent")

    def __init__(
        self, sock: socket.socket, on_message: Callable[[Link, int, Message], None], on_closed: Callable[[Link], None]
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_MS)
        self._frames = Frames()
        self.on_message, self.on_closed = on_message, on_closed
        self.on_flushed: Callable[[], None] | None = None
        self.over = False
        self.sent = 0  # messages
        self.stream = Stream(sock, self)

    def send(self, message: Message, number: int = 0) -> int:
        """Returns how many bytes the kernel has not taken yet."""
        self.sent += 1
        self.stream.send(frame(number, encode(message)))
        return self.stream.unsent

    @property
    def open(self) -> bool:
        return not self.over and not self.stream.closing

    def close(self) -> None:
        self.stream.abort()

    # The stream's side

    def data_received(self, data: bytes) -> None:
        try:
            for number, payload in self._frames.feed(data):
                if not self.open:
                    return  # what came with the end of a link belongs to nobody
                self.on_message(self, number, decode(payload))
        except (BadFrame, BadMessage) as e:
            log.warning("a peer said what is no message: %s", e)
            self.close()

    def eof_received(self) -> None:
        self._end()

    def flushed(self) -> None:
        if self.on_flushed is not None:
            self.on_flushed()

    def connection_lost(self) -> None:
        self._end()

    def _end(self) -> None:
        if not self.over:
            self.over = True
            self.on_closed(self)


class Listener:
    """Accepts for one address."""

    BACKLOG = 1024
    AT_ONCE = 32
    REST_US = 50_000

    def __init__(self, reactor: Reactor, address: Address, accepted: Callable[[socket.socket], None]) -> None:
        """Raises OSError."""
        self._reactor, self._accepted = reactor, accepted
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((address.host, address.port))
        self._sock.listen(self.BACKLOG)
        self.port = int(self._sock.getsockname()[1])
        self.closed = False
        reactor.add_reader(self._sock.fileno(), self._readable)

    def _readable(self) -> None:
        for _ in range(self.AT_ONCE):
            if self.closed:
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as e:
                log.warning("cannot accept: %s", e)
                self._reactor.remove_reader(self._sock.fileno())
                self._reactor.after(self.REST_US, self._again)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                self._accepted(sock)
            except OSError as e:
                log.warning("cannot watch a connection: %s", e)
                sock.close()

    def _again(self) -> None:
        if not self.closed:
            self._reactor.add_reader(self._sock.fileno(), self._readable)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._reactor.remove_reader(self._sock.fileno())
            self._sock.close()


def connect(
    reactor: Reactor,
    address: Address,
    timeout_us: int,
    opened: Callable[[socket.socket], None],
    failed: Callable[[OSError], None],
) -> ConnectAttempt:
    connecting = ConnectAttempt(reactor, address, timeout_us / 1e6, opened, failed)
    connecting.begin()
    return connecting
