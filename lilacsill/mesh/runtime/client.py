"""A blocking client for operators' commands: one connection, one request, one reply."""

from __future__ import annotations

import socket

from lilacsill.address import parse_address

from .frames import FrameDecoder, encode_frame
from .messages import BadMessage, Message, Status, StatusReply, decode, encode

TIMEOUT_S = 3.0  # to connect, and for each read: an operator waits at a terminal
READ_BYTES = 1 << 16  # taken from the socket with one call
REQUEST_NUMBER = 1  # there is one request on a connection, so any number will do


class RequestFailed(Exception):
    """A process could not be reached, or did not reply.

    Attributes:
        address: Where the process was expected, as the operator gave it.
        reason: What went wrong.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


def request(address: str, message: Message) -> Message:
    """Send one message to the process at HOST:PORT and return its reply.

    Raises:
        RequestFailed: The process cannot be reached, closed the connection, or sent no valid message.
    """
    try:
        target = parse_address(address)
    except ValueError as error:
        raise RequestFailed(address, str(error)) from None
    try:
        with socket.create_connection(target, TIMEOUT_S) as sock:
            sock.sendall(encode_frame(REQUEST_NUMBER, encode(message)))
            return decode(_receive_payload(sock, address))
    except (OSError, BadMessage) as error:
        raise RequestFailed(address, str(error)) from None


def _receive_payload(sock: socket.socket, address: str) -> bytes:
    frames = FrameDecoder()
    while True:
        data = sock.recv(READ_BYTES)
        if not data:
            raise RequestFailed(address, "closed the connection")
        for _, payload in frames.feed(data):
            return payload


def fetch_status(address: str) -> bytes:
    """Return the status of a process of any of the three programs, as JSON.

    Raises:
        RequestFailed: There is no reply, or a reply of another kind.
    """
    reply = request(address, Status())
    if not isinstance(reply, StatusReply):
        raise RequestFailed(address, "sent a reply of another kind")
    return reply.text
