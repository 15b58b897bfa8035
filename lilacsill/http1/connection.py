"""The base class of HTTP/1.1 connections, for servers and clients."""

from __future__ import annotations

import socket

from ..net.stream import Stream


class Connection:
    """A TCP connection that tracks whether all sent bytes have been written.

    Subclasses override `on_data`, `on_fault` and `on_end`.
    """

    def __init__(self) -> None:
        self.stream: Stream | None = None
        self.written = True  # whether the kernel has accepted all bytes sent
        self.closed = False
        self.discarding = False  # whether incoming bytes are dropped

    def attach(self, sock: socket.socket) -> None:
        """Take over a connected non-blocking socket.

        Raises:
            OSError: The event loop cannot watch the socket; the caller still owns the socket.
        """
        self.stream = Stream(sock, self)

    # Overridden by subclasses

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def on_fault(self) -> None:
        """Handle an exception that `on_data` raised and `data_received` has logged."""

    def on_end(self) -> None:
        """Handle the end of the connection, by either side. May be called twice."""

    # Called by the stream (net.stream.StreamHandler)

    def data_received(self, data: bytes) -> None:
        """Pass bytes from the peer to `on_data`; after an exception there, further bytes are discarded."""
        if self.discarding:
            return
        try:
            self.on_data(data)
        except Exception:  # must neither look like a disconnect by the peer nor remain unlogged
            import logging  # imported here: it costs 1 MB in processes that log nothing else

            logging.getLogger(__name__).exception("connection failed: exception in on_data; discarding further data")
            self.discarding = True
            self.on_fault()

    def eof_received(self) -> None:
        """Report the end of the peer's data, or a reset, to `on_end`."""
        self.on_end()

    def connection_lost(self) -> None:
        """Mark the connection as closed and drop the reference to the stream."""
        self.closed = True
        self.on_end()
        self.stream = None  # breaks a reference cycle, which only the garbage collector would free

    def flushed(self) -> None:
        """Record that the kernel has accepted all bytes sent."""
        self.written = True

    # For subclasses and their users

    @property
    def unsent(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""
        return self.stream.unsent if self.stream is not None else 0

    @property
    def open(self) -> bool:
        """Whether bytes sent now can still reach the peer."""
        return not self.closed and self.stream is not None and not self.stream.closing

    def send(self, data: bytes) -> None:
        """Send bytes."""
        assert self.stream is not None
        self.stream.send(data)
        # A failed write also empties the buffer, but then the stream is closing.
        self.written = not self.stream.closing and not self.stream.unsent

    def nothing_to_read(self) -> bool:
        """Return whether the kernel has nothing to read, not even the peer's close."""
        return self.stream is not None and self.stream.nothing_to_read()

    def close(self) -> None:
        """Close once all bytes are written."""
        if self.stream is not None:
            self.stream.close()

    def drop(self) -> None:
        """Close the socket at once and discard buffered bytes; the peer is notified at once."""
        self.discarding = self.closed = True
        if self.stream is not None:
            self.stream.abort()
