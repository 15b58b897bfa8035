"""A connection between two processes of the mesh, which carries messages in frames."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.net.stream import Stream

from .frames import FrameDecoder, FrameError, encode_frame
from .log_ring import log
from .messages import BadMessage, Message, decode, encode
from .reactor import Reactor

UNACKNOWLEDGED_TIMEOUT_MS = 1_500  # bytes that TCP sent and the peer has not acknowledged for so long end the link


class Link:
    """One connection: sends messages, and passes each complete message that arrives to `on_message`.

    Attributes:
        on_message: Called with the link, the number in the frame and the message.
        on_closed: Called once, when the link has ended for whatever reason.
        on_flushed: Called when the kernel has taken all bytes, after a time in which it had not.
        closed: Whether the link has ended.
    """

    __slots__ = ("stream", "_frames", "on_message", "on_closed", "on_flushed", "closed")

    def __init__(
        self, sock: socket.socket, on_message: Callable[[Link, int, Message], None], on_closed: Callable[[Link], None]
    ) -> None:
        """Take over a connected socket that does not block.

        Raises:
            OSError: The socket cannot be watched; then it is still the caller's.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self._frames = FrameDecoder()
        self.on_message = on_message
        self.on_closed = on_closed
        self.on_flushed: Callable[[], None] | None = None
        self.closed = False
        self.stream = Stream(sock, self)

    def send(self, message: Message, number: int = 0) -> int:
        """Send a message, and return how many bytes the kernel has not taken yet."""
        self.stream.send(encode_frame(number, encode(message)))
        return self.stream.unsent

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return not self.closed and not self.stream.closing

    def close(self) -> None:
        """End the link at once; bytes that the kernel has not taken are dropped."""
        self.stream.abort()

    # The interface that `lilacsill.net.stream.Stream` calls

    def data_received(self, data: bytes) -> None:
        """Decode the bytes from the peer."""
        try:
            for number, payload in self._frames.feed(data):
                if not self.is_open:
                    return  # the link ended with an earlier message: the rest has no receiver
                self.on_message(self, number, decode(payload))
        except (FrameError, BadMessage) as error:
            log.warning("a peer sent an invalid message: %s", error)
            self.close()

    def eof_received(self) -> None:
        """Handle the end of the peer's side."""
        self._end()

    def flushed(self) -> None:
        """Handle that the kernel has taken all bytes."""
        if self.on_flushed is not None:
            self.on_flushed()

    def connection_lost(self) -> None:
        """Handle the end of the stream."""
        self._end()

    def _end(self) -> None:
        if not self.closed:
            self.closed = True
            self.on_closed(self)


class Listener:
    """Accepts connections at one address.

    Attributes:
        port: The port that is bound, also where the address leaves it to the kernel (port 0).
        closed: Whether it has stopped listening.
    """

    BACKLOG = 1024  # connections that the kernel holds until they are accepted
    MAX_ACCEPTS_PER_EVENT = 32  # so that a burst of connections does not delay other events for long
    ACCEPT_RETRY_US = 50_000  # after a failure, such as a lack of descriptors

    def __init__(self, reactor: Reactor, address: Address, on_accept: Callable[[socket.socket], None]) -> None:
        """Listen.

        Args:
            reactor: Watches the socket.
            address: To bind.
            on_accept: Takes over each connected socket; where it raises OSError the socket is closed.

        Raises:
            OSError: The address cannot be bound.
        """
        self._reactor = reactor
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((address.host, address.port))
        self._sock.listen(self.BACKLOG)
        self.port = int(self._sock.getsockname()[1])
        self.closed = False
        reactor.add_reader(self._sock.fileno(), self._on_readable)

    def close(self) -> None:
        """Stop listening. Connections that were accepted stay."""
        if not self.closed:
            self.closed = True
            self._reactor.remove_reader(self._sock.fileno())
            self._sock.close()

    def _on_readable(self) -> None:
        for _ in range(self.MAX_ACCEPTS_PER_EVENT):
            if self.closed:
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("cannot accept: %s", error)
                self._reactor.remove_reader(self._sock.fileno())
                self._reactor.after(self.ACCEPT_RETRY_US, self._resume)
                return
            self._set_up(sock)

    def _set_up(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._on_accept(sock)
        except OSError as error:
            log.warning("cannot watch a connection: %s", error)
            sock.close()

    def _resume(self) -> None:
        if not self.closed:
            self._reactor.add_reader(self._sock.fileno(), self._on_readable)


def connect(
    reactor: Reactor,
    address: Address,
    timeout_us: int,
    on_connected: Callable[[socket.socket], None],
    on_failed: Callable[[OSError], None],
) -> ConnectAttempt:
    """Begin to connect.

    One of the two callbacks is called once, perhaps before this function returns.

    Returns:
        The attempt, which can be cancelled.
    """
    connecting = ConnectAttempt(reactor, address, timeout_us / 1e6, on_connected, on_failed)
    connecting.begin()
    return connecting
