"""One TCP stream, with one buffer for the bytes that the kernel has not accepted yet.

asyncio's own transports take two to four iterations of the event loop to set a connection up, and as many tasks and
futures. On a busy core an iteration takes 50 ms: health checks ran into their time-out before their connection was up,
each of them then cost another connection, and nothing was served any more.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from .reactor import running_loop

MAX_READ_BYTES = 256 * 1024  # read at once
# One buffer for all streams: what was read is copied out before the next read.
_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class StreamHandler(Protocol):
    """The owner of a stream. It is called from the event loop, never from inside a call to the stream."""

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def eof_received(self) -> None:
        """Handle the end of the peer's sending, or a reset. The stream then closes by itself."""

    def flushed(self) -> None:
        """Handle that the kernel has accepted all bytes sent, after some had to be buffered."""

    def connection_lost(self) -> None:
        """Handle the end of the stream, the last call: it is closed and its descriptor is free."""


class Stream:
    """A connected non-blocking socket, which the stream owns from its construction on.

    Raises:
        OSError: The event loop cannot watch the socket (at construction); the socket is still the caller's then.
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
        self.closing = False  # nothing more is read, and the stream closes when all is written
        self.paused = False
        self.reset = False  # whether the peer has reset the connection
        self.read_limit: Callable[[], int] | None = None  # bytes to read at once; None: MAX_READ_BYTES
        self._loop.add_reader(self._fd, self.receive)

    @property
    def unsent(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""
        return len(self._unsent)

    def receive(self) -> None:
        """Read once, and pass on what was read, if anything."""
        try:
            nbytes = self._sock.recv_into(_BUFFER, self.read_limit() if self.read_limit is not None else MAX_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            nbytes = 0
            self.reset = True
            self._unsent.clear()  # nobody receives it any more
        if nbytes:
            self._handler.data_received(bytes(_BUFFER[:nbytes]))
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
        """Read nothing until `resume`; TCP's flow control then slows the peer down."""
        if not self.closing and not self.paused:
            self.paused = True
            self._loop.remove_reader(self._fd)

    def resume(self) -> None:
        """Read again after `pause`."""
        if not self.closing and self.paused:
            self.paused = False
            self._loop.add_reader(self._fd, self.receive)

    def send(self, data: bytes) -> None:
        """Write now what the kernel accepts, and the rest when it accepts more."""
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
        """Shut down the sending side when all is written; the stream still reads."""
        self._half_closing = True
        if not self._unsent:
            self._shut_down()

    def _shut_down(self) -> None:
        if not self._closed:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:  # the peer has reset it
                self.abort()

    def close(self) -> None:
        """Close when all is written."""
        if not self.closing:
            self.closing = True
            self._loop.remove_reader(self._fd)
            if not self._unsent:
                self.abort()

    def abort(self) -> None:
        """Close at once.

        The peer sees it at once, too: the next attempt of the same request may go out in this iteration of the loop.
        """
        if self._closed:
            return
        self.closing = self._closed = True
        self._unsent.clear()
        self._loop.remove_reader(self._fd)
        self._loop.remove_writer(self._fd)
        self._sock.close()
        self._loop.call_soon(self._handler.connection_lost)
