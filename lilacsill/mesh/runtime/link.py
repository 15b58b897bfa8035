"""A TCP connection between two processes of the mesh that carries framed messages."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from lilacsill.address import Address
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.net.reactor import running_loop
from lilacsill.net.stream import Stream

from .frames import FrameDecoder, FrameError, encode_frame
from .log_ring import log
from .messages import BadMessage, Message, decode, encode
from .reactor import Reactor
from .socket_buffers import limit_socket_buffers

UNACKNOWLEDGED_TIMEOUT_MS = 1_500  # the link ends if the peer has not acknowledged sent bytes for this time
# Of a guarded link. Above this its peer, which does not read, is not read either.
MAX_UNSENT_BYTES = 1024 * 1024
MAX_MESSAGES_PER_EVENT = 8  # of a guarded link, so that a peer that sends many does not delay other events for long


class LinkGuard(Protocol):
    """Bounds what a link holds that another process has opened."""

    def on_activity(self) -> None:
        """Handle that messages have arrived or bytes were sent."""

    def on_closed(self) -> None:
        """Handle the end of the link. May be called twice."""


class Link:
    """One connection: sends messages, and passes each complete message that arrives to `on_message`.

    Attributes:
        on_message: Called with the link, the number in the frame and the message.
        on_closed: Called once, when the link has ended for any reason.
        on_flushed: Called when the kernel has accepted all bytes, after some had to be buffered.
        closed: Whether the link has ended.
        guard: Bounds the link, if another process has opened it.
        has_received: Whether a complete message has arrived.
    """

    __slots__ = (
        "stream",
        "_frames",
        "_is_throttled",
        "_is_paused",
        "on_message",
        "on_closed",
        "on_flushed",
        "closed",
        "guard",
        "has_received",
    )

    def __init__(
        self, sock: socket.socket, on_message: Callable[[Link, int, Message], None], on_closed: Callable[[Link], None]
    ) -> None:
        """Take ownership of a connected non-blocking socket.

        Raises:
            OSError: The socket cannot be configured or watched; the caller keeps ownership of it.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self._frames = FrameDecoder()
        self.on_message = on_message
        self.on_closed = on_closed
        self.on_flushed: Callable[[], None] | None = None
        self.closed = False
        self.guard: LinkGuard | None = None
        self.has_received = False
        self._is_throttled = False  # messages wait, and nothing is read
        self._is_paused = False  # by the owner
        self.stream = Stream(sock, self)

    def send(self, message: Message, number: int = 0) -> int:
        """Send a message, and return the number of bytes that remain in the send buffer."""
        self.stream.send(encode_frame(number, encode(message)))
        return self.stream.unsent

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return not self.closed and not self.stream.closing

    @property
    def buffered_bytes(self) -> int:
        """Bytes of messages that are not complete or handled yet, and of those that are not sent."""
        return self._frames.buffered + self.stream.unsent

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self._is_paused = True
        self.stream.pause()

    def resume(self) -> None:
        """Go on reading after `pause`."""
        self._is_paused = False
        if not self._is_throttled:
            self.stream.resume()

    def close(self) -> None:
        """Close the link at once, and drop the bytes in the send buffer."""
        self.stream.abort()
        if self.guard is not None:
            self._frames.clear()
            self.guard.on_closed()

    # The interface that `lilacsill.net.stream.Stream` calls

    def data_received(self, data: bytes) -> None:
        """Decode the bytes from the peer."""
        self._frames.add(data)
        self._handle_messages()

    def _handle_messages(self) -> None:
        """Handle the messages that are complete. On a guarded link, some may have to wait."""
        try:
            count = 0
            while self.is_open and not self._must_wait(count) and (frame := self._frames.next()) is not None:
                number, payload = frame
                self.has_received = True
                self.on_message(self, number, decode(payload))
                count += 1
        except (FrameError, BadMessage) as error:
            log.warning("closing a link after an invalid message from its peer: %s", error)
            self.close()
            return
        if self.guard is not None:
            self._throttle_or_go_on(self.guard, count)

    def _must_wait(self, count: int) -> bool:
        if self.guard is None:
            return False
        return count >= MAX_MESSAGES_PER_EVENT or self.stream.unsent > MAX_UNSENT_BYTES

    def _throttle_or_go_on(self, guard: LinkGuard, count: int) -> None:
        """Stop reading while messages have to wait; they are handled once the peer has read, or with later events."""
        if not self.is_open:
            return
        was_throttled, self._is_throttled = self._is_throttled, self._must_wait(count)
        if self._is_throttled:
            self.stream.pause()
        elif was_throttled and not self._is_paused:
            self.stream.resume()
        if self._is_throttled and self.stream.unsent <= MAX_UNSENT_BYTES:
            running_loop().call_soon(self._handle_messages)
        guard.on_activity()

    def eof_received(self) -> None:
        """Handle that the peer has closed its sending side or reset the connection."""
        self._notify_closed()

    def flushed(self) -> None:
        """Handle that the send buffer is empty."""
        if self._is_throttled:
            self._handle_messages()
        if self.on_flushed is not None:
            self.on_flushed()

    def connection_lost(self) -> None:
        """Handle that the connection is closed."""
        self._notify_closed()

    def _notify_closed(self) -> None:
        if not self.closed:
            self.closed = True
            if self.guard is not None:
                self.guard.on_closed()
            self.on_closed(self)


class Listener:
    """Accepts connections at one address.

    Attributes:
        port: The bound port, also if the kernel chose it (port 0 in the address).
        closed: Whether the listener is closed.
    """

    BACKLOG = 1024  # connections that the kernel queues until they are accepted
    MAX_ACCEPTS_PER_EVENT = 32  # so that a burst of connections does not delay other events for long
    ACCEPT_RETRY_US = 50_000  # after a failed accept, for example without free file descriptors

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_accept: Callable[[socket.socket], None],
        is_bounded: bool = False,
    ) -> None:
        """Bind the address and start listening.

        Args:
            reactor: Event loop of the process.
            address: Address to bind.
            on_accept: Takes ownership of each connected socket; if it raises OSError, the socket is closed.
            is_bounded: Whether the kernel's buffers of each connection have a fixed size.

        Raises:
            OSError: The address cannot be bound.
        """
        self._reactor = reactor
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_bounded:
            limit_socket_buffers(self._sock)
        self._sock.bind((address.host, address.port))
        self._sock.listen(self.BACKLOG)
        self.port = int(self._sock.getsockname()[1])
        self.closed = False
        reactor.add_reader(self._sock.fileno(), self._on_readable)

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
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
                log.warning(
                    "accept on port %d failed, retrying in %d ms: %s", self.port, self.ACCEPT_RETRY_US // 1000, error
                )
                self._reactor.remove_reader(self._sock.fileno())
                self._reactor.after(self.ACCEPT_RETRY_US, self._resume_accepting)
                return
            self._set_up(sock)

    def _set_up(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._on_accept(sock)
        except OSError as error:
            log.warning("closing a new connection on port %d: cannot set it up: %s", self.port, error)
            sock.close()

    def _resume_accepting(self) -> None:
        if not self.closed:
            self._reactor.add_reader(self._sock.fileno(), self._on_readable)


def connect(
    reactor: Reactor,
    address: Address,
    timeout_us: int,
    on_connected: Callable[[socket.socket], None],
    on_failed: Callable[[OSError], None],
) -> ConnectAttempt:
    """Start connecting.

    Exactly one of the two callbacks is called, once, possibly before this function returns.

    Returns:
        The attempt, which can be cancelled.
    """
    connecting = ConnectAttempt(reactor, address, timeout_us / 1e6, on_connected, on_failed)
    connecting.begin()
    return connecting
