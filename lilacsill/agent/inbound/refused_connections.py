"""Refused connections: answered with 503 where a request has come, closed where none has."""

from __future__ import annotations

import asyncio
import socket

WAIT_S = 0.25  # for a request to come, so that it gets its 503
READ_BYTES = 64 * 1024
BODY = b"refused: no room for this connection\n"
HEAD = b"HTTP/1.1 503 Service Unavailable\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n"


class RefusedConnections:
    """Keeps at most `max_waiting` refused connections, each for a moment; beyond that the oldest is closed.

    A connection storm consists of these, so there is one timer for all and no stream for each.
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[socket.socket, tuple[float, float]] = {}  # Retry-After, deadline in s; oldest first
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def refuse(self, sock: socket.socket, retry_after_s: float, may_wait: bool) -> None:
        """Refuse a connection and close it.

        Args:
            sock: The connection, which this object owns from now on.
            retry_after_s: The Retry-After of the answer; 0: none.
            may_wait: Whether to wait for a request where none has come.
        """
        if self._respond(sock, retry_after_s) or not may_wait or not self._max_waiting:
            sock.close()
            return
        if len(self._waiting) >= self._max_waiting:
            self._close(next(iter(self._waiting)))
        self._waiting[sock] = (retry_after_s, self._loop.time() + WAIT_S)
        self._loop.add_reader(sock.fileno(), self._on_readable, sock)
        if self._timer is None:
            self._timer = self._loop.call_later(WAIT_S, self._expire)

    def close(self) -> None:
        """Close all connections that wait."""
        for sock in list(self._waiting):
            self._close(sock)
        if self._timer is not None:
            self._timer.cancel()

    def _expire(self) -> None:
        self._timer = None
        now = self._loop.time()
        for sock, (_, deadline) in list(self._waiting.items()):
            if deadline > now:
                self._timer = self._loop.call_at(deadline, self._expire)
                return
            self._close(sock)

    def _on_readable(self, sock: socket.socket) -> None:
        if self._respond(sock, self._waiting[sock][0]):
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        del self._waiting[sock]
        self._loop.remove_reader(sock.fileno())
        sock.close()

    @staticmethod
    def _respond(sock: socket.socket, retry_after_s: float) -> bool:
        """Answer a request that has come; return whether there is nothing more to wait for."""
        try:
            # Read, too: closing a socket with unread bytes resets the connection, and the answer is lost.
            if sock.recv(READ_BYTES, socket.MSG_DONTWAIT):
                advice = b"Retry-After: %.3f\r\n" % retry_after_s if retry_after_s else b""
                sock.send(HEAD % (advice, len(BODY)) + BODY, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass  # the client has closed the connection itself
        return True
