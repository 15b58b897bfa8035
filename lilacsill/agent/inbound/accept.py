"""The accept loop: accepts a bounded number of queued connections at once, even if no descriptor is free."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from ..descriptors import EXHAUSTED, SpareDescriptor

log = logging.getLogger(__name__)

BACKLOG = 512
MAX_ACCEPTS = 16  # per event loop iteration, so that open connections are served
# Without even a spare descriptor, or after an unexpected error of accept. asyncio's own server pauses for 1 s.
ACCEPT_PAUSE_S = 0.02
# Errors of the connection to be accepted, not of the listener (accept(2)).
TRANSIENT_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ETIMEDOUT,
    )
)


class AcceptLoop:
    """Accepts connections on a non-blocking listening socket.

    Args:
        sock: The listening socket; this object closes it.
        spare: The spare descriptor, released to accept a connection when no other descriptor is free.
        on_accepted: Called with the connection, which it must close, the peer's host, and whether the connection uses
            the spare descriptor, which can be reacquired only when a descriptor is closed.
        on_exhausted: Called with the purpose of a descriptor when none was available.
        may_accept_more: Returns whether another connection may be accepted in this event loop iteration.
    """

    def __init__(
        self,
        sock: socket.socket,
        spare: SpareDescriptor,
        on_accepted: Callable[[socket.socket, str, bool], None],
        on_exhausted: Callable[[str], None],
        may_accept_more: Callable[[], bool],
    ) -> None:
        self._sock, self._spare = sock, spare
        self._on_accepted, self._on_exhausted, self._may_accept_more = on_accepted, on_exhausted, may_accept_more
        self._loop = asyncio.get_running_loop()
        self._resumption: asyncio.TimerHandle | None = None  # set while the loop pauses
        self._is_open = True

    def start(self) -> None:
        """Start to accept connections."""
        self._loop.add_reader(self._sock.fileno(), self._on_readable)

    def stop(self) -> None:
        """Close the listener. The kernel resets queued connections, unless another process shares the listener."""
        if not self._is_open:
            return
        self._is_open = False
        if self._resumption is not None:
            self._resumption.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _on_readable(self) -> None:
        for _ in range(MAX_ACCEPTS):
            on_spare = not self._spare.reacquire()
            try:
                connection, peer = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if self._can_continue(error):
                    continue
                self._pause()
                return
            self._dispatch(connection, peer[0], on_spare)
            if not self._may_accept_more():
                return

    def _can_continue(self, error: OSError) -> bool:
        """Handle an error of accept; return whether the next connection may be accepted at once."""
        if error.errno in TRANSIENT_ERRORS:
            return True
        if error.errno in EXHAUSTED:
            self._on_exhausted("a new connection")
            return self._accept_on_spare()
        log.error("cannot accept a connection on the listener: %s", error)
        return False

    def _accept_on_spare(self) -> bool:
        """Accept on the spare descriptor, so that the client is refused rather than left in the kernel's queue."""
        if not self._spare.release():
            return False
        try:
            connection, peer = self._sock.accept()
        except OSError as error:
            return error.errno not in EXHAUSTED  # if exhausted, another program has taken the released descriptor
        self._dispatch(connection, peer[0], True)
        return True

    def _dispatch(self, connection: socket.socket, host: str, on_spare: bool) -> None:
        try:
            self._on_accepted(connection, host, on_spare)
        except Exception:  # a fault of one connection must not affect the others
            log.exception("connection failed: cannot set up accepted connection from %s", host)
            connection.close()

    def _pause(self) -> None:
        # The listener stays readable: without a pause the event loop would run in a busy loop.
        self._loop.remove_reader(self._sock.fileno())
        self._resumption = self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._resumption = None
        if self._is_open:
            self.start()


def adopt_listener(descriptor: int) -> socket.socket:
    """Return an inherited listening socket, which other processes use as well.

    They share its flags, and each needs it non-blocking. It must never be shut down, because that stops it for all.

    Raises:
        OSError: The descriptor is not a listening socket.
    """
    sock = socket.socket(fileno=descriptor)
    try:
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(errno.EINVAL, f"descriptor {descriptor} is not a listening socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.set_inheritable(False)
        sock.setblocking(False)
    except OSError:
        sock.detach()
        raise
    return sock


def create_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a new non-blocking listening socket.

    Args:
        host: The address to listen on; `::` accepts IPv4 too.
        port: The port; 0: any free one.
        shared: Whether the kernel distributes connections over all processes that listen there (SO_REUSEPORT, see
                socket(7)).

    Raises:
        OSError: The address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if ":" in host:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 0 if host == "::" else 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # inherited by accepted connections
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
