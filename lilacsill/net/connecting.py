"""Opens TCP connections.

A connection that the kernel establishes at once, as on loopback, is reported in the same iteration of the event loop.
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..address import Address
from ..timers import Timer
from .reactor import TimerScheduler, running_loop

if TYPE_CHECKING:
    import asyncio


def new_socket(family: int) -> socket.socket:
    """Return a non-blocking TCP socket with TCP_NODELAY set.

    Raises:
        OSError: The socket cannot be created, for example because the process has no file descriptor left.
    """
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class ConnectAttempt:
    """One attempt to connect to an address.

    After `begin`, exactly one of the two callbacks is called, once: `on_connected` with the socket or `on_failed` with
    the error. Either may be called before `begin` returns.
    """

    def __init__(
        self,
        clock: TimerScheduler,
        address: Address,
        timeout_s: float,
        on_connected: Callable[[socket.socket], None],
        on_failed: Callable[[OSError], None],
    ) -> None:
        self._clock, self._address, self._timeout_s = clock, address, timeout_s
        self._on_connected, self._on_failed = on_connected, on_failed
        self._loop = running_loop()
        self._sock: socket.socket | None = None
        self._awaits_writable = False  # whether a writer callback is registered for the socket
        self._timer: Timer | None = None
        self._resolution: asyncio.Task[None] | None = None
        self._done = False

    def begin(self) -> None:
        """Start to connect; the timeout starts now."""
        host, port = self._address.host, self._address.port
        self._timer = self._clock.after(
            int(self._timeout_s * 1e6), self._fail, TimeoutError(errno.ETIMEDOUT, "timed out")
        )
        family = address_family(host)
        if family is None:
            import asyncio  # imported here: processes of the mesh use only numeric addresses and never load asyncio

            self._resolution = asyncio.get_running_loop().create_task(self._resolve(host, port))
        else:
            self._connect(family, (host, port))

    def cancel(self) -> None:
        """Cancel the attempt: `on_failed` is called with ECANCELED. Has no effect on a completed attempt."""
        self._fail(OSError(errno.ECANCELED, os.strerror(errno.ECANCELED)))

    async def _resolve(self, host: str, port: int) -> None:
        import asyncio

        try:
            found = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
        except OSError as error:
            self._fail(error)
            return
        if not self._done:
            family, _, _, _, sockaddr = found[0]
            self._connect(family, sockaddr)

    def _connect(self, family: int, sockaddr: Any) -> None:
        try:
            self._sock = sock = new_socket(family)
            code = sock.connect_ex(sockaddr)
            if code and code != errno.EINPROGRESS:
                raise OSError(code, os.strerror(code))
            if code and not _is_connected(sock):
                self._loop.add_writer(sock.fileno(), self._on_writable)
                self._awaits_writable = True
                return
        except OSError as error:
            self._fail(error)
            return
        self._succeed()

    def _on_writable(self) -> None:
        assert self._sock is not None
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(OSError(code, os.strerror(code)))
            return
        self._succeed()

    def _succeed(self) -> None:
        sock = self._sock
        assert sock is not None
        self._finish()
        self._on_connected(sock)

    def _fail(self, error: OSError) -> None:
        if self._done:
            return
        self._finish()
        if self._sock is not None:
            self._sock.close()
        self._on_failed(error)

    def _finish(self) -> None:
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        if self._awaits_writable and self._sock is not None:
            self._loop.remove_writer(self._sock.fileno())
        if self._resolution is not None:
            self._resolution.cancel()


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def address_family(host: str) -> int | None:
    """Return the address family of a numeric address; None for a host name."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except (OSError, ValueError):
            continue
        return family
    return None


async def connect(clock: TimerScheduler, address: Address, timeout_s: float) -> socket.socket:
    """Connect to an address and return the socket.

    Raises:
        OSError: The connection could not be opened; a TimeoutError if that took longer than `timeout_s`.
    """
    import asyncio

    outcome: asyncio.Future[socket.socket] = asyncio.get_running_loop().create_future()

    def on_failed(error: OSError) -> None:
        if not outcome.done():
            outcome.set_exception(error)

    attempt = ConnectAttempt(clock, address, timeout_s, outcome.set_result, on_failed)
    attempt.begin()
    try:
        return await outcome
    except asyncio.CancelledError:
        attempt.cancel()
        if outcome.done() and not outcome.cancelled() and outcome.exception() is None:
            outcome.result().close()
        raise
