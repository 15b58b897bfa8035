"""One TCP stream, with one buffer for the bytes that the kernel has not accepted yet.

asyncio's transports need two to four iterations of the event loop, and as many tasks and futures, to set up a
connection. On a busy core an iteration takes 50 ms: health checks timed out before their connection was established,
each of them then opened another connection, and no request was served any more.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from .reactor import running_loop

MAX_READ_BYTES = 256 * 1024  # per system call
# Shared by all streams: the bytes are copied out before the next read.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class StreamHandler(Protocol):
    """The owner of a stream. It is called from the event loop, and inside a call to the stream only by `receive`."""

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def eof_received(self) -> None:
        """Handle the end of the peer's data, or a reset. The stream then closes itself."""

    def flushed(self) -> None:
        """Handle an empty send buffer: the kernel has accepted all bytes, after some had to be buffered."""

    def connection_lost(self) -> None:
        """Handle the end of the stream, whose socket is closed. No other method is called after this."""


class Stream:
    """A connected non-blocking socket, which the stream owns once it is constructed.

    Raises:
        OSError: The event loop cannot watch the socket (at construction); the caller still owns the socket.
    """

    __slots__ = (
        "_loop",
        "_sock",
        "_fd",
        "_handler",
        "_unsent",
        "_half_closing",
        "_closed",
        "closing",
        "paused",
        "read_limit",
        "reset",
    )

    def __init__(self, sock: socket.socket, handler: StreamHandler) -> None:
        self._loop = running_loop()
        self._sock, self._fd, self._handler = sock, sock.fileno(), handler
        self._unsent = bytearray()
        self._half_closing = self._closed = False
        self.closing = False  # no more reads; the stream closes once all bytes are written
        self.paused = False
        self.reset = False  # whether the peer has reset the connection
        self.read_limit: Callable[[], int] | None = None  # returns the maximum bytes per read; None: MAX_READ_BYTES
        self._loop.add_reader(self._fd, self.receive)

    @property
    def unsent(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""
        return len(self._unsent)

    def receive(self) -> None:
        """Read once and pass any data, or the end of the stream, to the handler."""
        try:
            nbytes = self._sock.recv_into(
                _READ_BUFFER, self.read_limit() if self.read_limit is not None else MAX_READ_BYTES
            )
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            nbytes = 0
            self.reset = True
            self._unsent.clear()  # the peer no longer receives it
        if nbytes:
            self._handler.data_received(bytes(_READ_BUFFER[:nbytes]))
        else:
            self._handler.eof_received()
            self.close()

    def nothing_to_read(self) -> bool:
        """Return whether the kernel has nothing to read, not even the peer's close."""
        if self.closing:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def pause(self) -> None:
        """Stop reading until `resume`, so that TCP flow control slows down the peer."""
        if not self.closing and not self.paused:
            self.paused = True
            self._loop.remove_reader(self._fd)

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if not self.closing and self.paused:
            self.paused = False
            self._loop.add_reader(self._fd, self.receive)

    def send(self, data: bytes) -> None:
        """Write what the kernel accepts now and buffer the rest until the socket is writable."""
        if self._closed:
            return
        if not self._unsent:
            try:
                accepted = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                accepted = 0
            except OSError:
                self.abort()
                return
            if accepted == len(data):
                return
            data = data[accepted:]
            self._loop.add_writer(self._fd, self._on_writable)
        self._unsent += data

    def _on_writable(self) -> None:
        try:
            del self._unsent[: self._sock.send(self._unsent)]
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort()
            return
        if self._unsent:
            return
        self._loop.remove_writer(self._fd)
        self._handler.flushed()
        if self._half_closing:
            self._shut_down()
        if self.closing:
            self.abort()

    def half_close(self) -> None:
        """Shut down the sending side once all bytes are written; the stream still reads."""
        self._half_closing = True
        if not self._unsent:
            self._shut_down()

    def _shut_down(self) -> None:
        if not self._closed:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:  # the peer has reset the connection
                self.abort()

    def close(self) -> None:
        """Stop reading, and close once all bytes are written."""
        if not self.closing:
            self.closing = True
            self._loop.remove_reader(self._fd)
            if not self._unsent:
                self.abort()

    def abort(self) -> None:
        """Close at once and discard unsent bytes.

        The socket is closed before this returns, not in a later iteration of the event loop, so that the peer is
        notified at once: the next attempt of the same request may be sent in this iteration.
        """
        if self._closed:
            return
        self.closing = self._closed = True
        self._unsent.clear()
        self._loop.remove_reader(self._fd)
        self._loop.remove_writer(self._fd)
        self._sock.close()
        self._loop.call_soon(self._handler.connection_lost)
