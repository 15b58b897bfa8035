"""Refused connections: a request is answered with 503; a connection without a request is closed."""

from __future__ import annotations

import asyncio
import socket

REQUEST_WAIT_S = 0.25  # time to wait for the request, which is then answered with 503
READ_BYTES = 64 * 1024
RESPONSE_BODY = b"refused: no room for this connection\n"
RESPONSE_HEAD = b"HTTP/1.1 503 Service Unavailable\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n"


class RefusedConnections:
    """Waits for requests on at most `max_waiting` refused connections; beyond that the oldest is closed.

    A connection storm causes many of them. To keep them cheap, all share one timer and none has a stream.
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[socket.socket, tuple[float, float]] = {}  # Retry-After and deadline in s; oldest first
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def refuse(self, sock: socket.socket, retry_after_s: float, may_wait: bool) -> None:
        """Refuse a connection and close it.

        Args:
            sock: The connection, which this object closes.
            retry_after_s: The Retry-After of the response in seconds; 0: none.
            may_wait: Whether to wait for a request if none has arrived.
        """
        if self._respond(sock, retry_after_s) or not may_wait or not self._max_waiting:
            sock.close()
            return
        if len(self._waiting) >= self._max_waiting:
            self._close(next(iter(self._waiting)))
        self._waiting[sock] = (retry_after_s, self._loop.time() + REQUEST_WAIT_S)
        self._loop.add_reader(sock.fileno(), self._on_readable, sock)
        if self._timer is None:
            self._timer = self._loop.call_later(REQUEST_WAIT_S, self._expire)

    def close(self) -> None:
        """Close all waiting connections."""
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
        """Respond if a request has arrived; return whether the connection can be closed."""
        try:
            # Read the request: closing a socket with unread bytes resets the connection, and the response is lost.
            if sock.recv(READ_BYTES, socket.MSG_DONTWAIT):
                retry_after = b"Retry-After: %.3f\r\n" % retry_after_s if retry_after_s else b""
                sock.send(RESPONSE_HEAD % (retry_after, len(RESPONSE_BODY)) + RESPONSE_BODY, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass  # the client has closed the connection itself
        return True
