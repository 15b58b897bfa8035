"""A crowd of connections that send prepared bytes, and stay open."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Iterator

from lilacsill.address import Address
from lilacsill.mesh.runtime.reactor import Reactor

PIECE_BYTES = 64 * 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096  # of those that don't read
READ_BYTES = 64 * 1024

Pieces = Iterator[bytes]


class CrowdMember:
    """One connection. It ends when its peer closes it, and else stays open until `close`."""

    def __init__(self, reactor: Reactor, address: Address, pieces: Pieces, reads: bool, pause_us: int) -> None:
        """Connect; `pieces` are sent as fast as the peer takes them, with a pause after each."""
        self._reactor, self._pieces, self._pause_us = reactor, pieces, pause_us
        self._unsent = memoryview(b"")
        self.is_done = False  # all is sent, or the connection has ended
        self._is_closed = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        if not reads:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        if self._sock.connect_ex((address.host, address.port)) not in (0, errno.EINPROGRESS):
            self.close()
            return
        reactor.add_writer(self._sock.fileno(), self._on_writable)
        if reads:
            reactor.add_reader(self._sock.fileno(), self._on_readable)

    def _on_writable(self) -> None:
        if not self._unsent:
            piece = next(self._pieces, None)
            if piece is None:
                self.is_done = True
                self._reactor.remove_writer(self._sock.fileno())
                return
            self._unsent = memoryview(piece)
        try:
            self._unsent = self._unsent[self._sock.send(self._unsent) :]
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if self._pause_us and not self._unsent:
            self._reactor.remove_writer(self._sock.fileno())
            self._reactor.after(self._pause_us, self._go_on)

    def _go_on(self) -> None:
        if not self._is_closed:
            self._reactor.add_writer(self._sock.fileno(), self._on_writable)

    def _on_readable(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._is_closed:
            return
        self._is_closed = self.is_done = True
        self._reactor.remove_writer(self._sock.fileno())
        self._reactor.remove_reader(self._sock.fileno())
        self._sock.close()


class Crowd:
    """Connections to one address that all do the same."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        size: int,
        pieces: Callable[[], Pieces],
        reads: bool = True,
        pause_us: int = 0,
    ) -> None:
        """Connect all members; `pieces` returns what one of them sends."""
        self._members = [CrowdMember(reactor, address, pieces(), reads, pause_us) for _ in range(size)]

    @property
    def is_done(self) -> bool:
        """Whether all members have sent everything, or were closed by their peer."""
        return all(member.is_done for member in self._members)

    def close(self) -> None:
        """Close all connections."""
        for member in self._members:
            member.close()
