"""The accept loop: accepts queued connections, a bounded number at once, also when descriptors run out."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from ..descriptors import EXHAUSTION_ERRNOS, SpareDescriptor

log = logging.getLogger(__name__)

BACKLOG = 512
MAX_ACCEPTS = 16  # in one iteration of the event loop, so that open connections are served
PAUSE_S = 0.02  # where not even the spare descriptor is left; asyncio's own server pauses for a second
# Errors of the connection that was to be accepted, not of the listener (accept(2)).
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
        sock: The listening socket, which the loop owns.
        spare: The spare descriptor, to accept with where there is no other.
        on_accepted: Called with the connection, which it owns, the peer's host, and whether the connection was
            accepted on the spare descriptor, which comes back only when one is closed.
        on_exhausted: Called with what a descriptor was needed for, where there was none.
        may_accept_more: Tells whether another connection may be accepted in this iteration of the event loop.
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
        """Accept from now on."""
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
                if self._can_go_on(error):
                    continue
                self._pause()
                return
            self._hand_over(connection, peer[0], on_spare)
            if not self._may_accept_more():
                return

    def _can_go_on(self, error: OSError) -> bool:
        """Handle an error of accept; return whether the next connection may be accepted at once."""
        if error.errno in TRANSIENT_ERRORS:
            return True
        if error.errno in EXHAUSTION_ERRNOS:
            self._on_exhausted("a new connection")
            return self._accept_on_spare()
        log.error("cannot accept: %s", error)
        return False

    def _accept_on_spare(self) -> bool:
        """Accept on the spare descriptor, so that nobody waits in the kernel's queue without an answer."""
        if not self._spare.release():
            return False
        try:
            connection, peer = self._sock.accept()
        except OSError as error:
            return error.errno not in EXHAUSTION_ERRNOS  # if exhausted, another program took the descriptor
        self._hand_over(connection, peer[0], True)
        return True

    def _hand_over(self, connection: socket.socket, host: str, on_spare: bool) -> None:
        try:
            self._on_accepted(connection, host, on_spare)
        except Exception:  # one connection's fault must not affect the others
            log.exception("connection failed")
            connection.close()

    def _pause(self) -> None:
        # The listener stays readable: without a pause the event loop would spin.
        self._loop.remove_reader(self._sock.fileno())
        self._resumption = self._loop.call_later(PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._resumption = None
        if self._is_open:
            self.start()


def adopt_listener(descriptor: int) -> socket.socket:
    """Return an inherited listening socket, which other processes use, too.

    All of them share its flags, and each needs it non-blocking. It must never be shut down: that would end it for all.

    Raises:
        OSError: The descriptor is no listening socket.
    """
    sock = socket.socket(fileno=descriptor)
    try:
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(errno.EINVAL, f"descriptor {descriptor} is no listening socket")
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
        shared: Whether the kernel spreads connections over all processes that listen there (SO_REUSEPORT, socket(7)).

    Raises:
        OSError: The address cannot be listened on.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if ":" in host:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 0 if host == "::" else 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted connections inherit it
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
