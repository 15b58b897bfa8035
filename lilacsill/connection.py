"""One TCP connection that speaks HTTP/1.1 through h11; what is common to all three roles of the agent."""
from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Sequence
from contextlib import suppress

import h11

log = logging.getLogger(__name__)

HEADER_LIMIT = 32 * 1024  # bytes of request or status line and headers

Headers = list[tuple[str, str]]
RawHeaders = Sequence[tuple[bytes, bytes]]


def header(headers: RawHeaders, name: bytes) -> str | None:
    """The first header of that name (in lower case), as text."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


class Connection(asyncio.Protocol):
    """Feeds bytes to h11 and hands its events on; knows whether all that was sent has been written."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER] = h11.CLIENT) -> None:
        self.http = h11.Connection(role, max_incomplete_event_size=HEADER_LIMIT)
        self.transport: asyncio.Transport | None = None
        self.written = True  # the kernel has taken all bytes
        self.closed = False
        self.deaf = False  # what still comes in is dropped

    # What a role adds

    def on_event(self, event: h11.Event) -> None:
        """One event of the peer's message."""

    def on_broken(self, error: Exception) -> None:
        """The peer sent what is not HTTP, or handling it raised."""

    def on_end(self) -> None:
        """The peer has closed or reset the connection. May come twice."""

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing then means: all is written

    def data_received(self, data: bytes) -> None:
        self._feed(data)

    def eof_received(self) -> None:
        self._feed(b"")
        self.on_end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.on_end()

    def resume_writing(self) -> None:
        self.written = True

    # For the roles

    def send(self, *events: h11.Event) -> None:
        """Write these events in one piece."""
        data = b"".join(self.http.send(e) or b"" for e in events)
        assert self.transport is not None
        self.transport.write(data)
        # A write that fails empties the buffer too: then the transport is closing.
        self.written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0

    def _read_on(self) -> None:
        """Hand on what has been received, as far as h11 lets it."""
        while not self.deaf:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            assert not isinstance(event, type)
            self.on_event(event)

    def quiet(self) -> bool:
        """Whether the kernel has nothing to read for it, not even the peer's close."""
        if self.transport is None or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLHUP)
        return not poll.poll(0)

    def close(self) -> None:
        """Close when all is written."""
        if self.transport is not None:
            self.transport.close()

    def drop(self) -> None:
        """Close at once, in the eyes of the peer too: the transport itself closes only a turn later, when the
        next attempt of the same request may be out already."""
        self.deaf = self.closed = True
        if self.transport is None or self.transport.is_closing():
            return
        with suppress(OSError):  # the peer may have reset it already
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def resume_reading(self) -> None:
        """Hand on what came in while the message before it was in hand."""
        self._feed(None)

    def _feed(self, data: bytes | None) -> None:
        if self.deaf:
            return
        try:
            if data is not None:
                self.http.receive_data(data)
            self._read_on()
        except h11.RemoteProtocolError as e:
            self.deaf = True
            self.on_broken(e)
        except Exception as e:  # a fault in one connection must not pass for the peer's leaving, nor vanish
            log.exception("connection failed")
            self.deaf = True
            self.on_broken(e)
