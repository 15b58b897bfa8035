"""Sizes of the kernel's buffers, which count as memory of the process, for connections that others open."""

from __future__ import annotations

import socket

SOCKET_BUFFER_BYTES = 64 * 1024  # for each direction; the kernel doubles it for its own structures


def limit_socket_buffers(listener: socket.socket) -> None:
    """Set the sizes of the buffers of all connections that a listener accepts; instead, the kernel lets them grow."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
