"""A blocking client for operators' commands: one connection, one request, one reply."""

from __future__ import annotations

import socket

from lilacsill.address import parse_address

from .frames import FrameDecoder, encode_frame
from .messages import BadMessage, Message, Status, StatusReply, decode, encode

TIMEOUT_S = 3.0  # for connecting and for each read; short because an operator waits at a terminal
READ_BYTES = 1 << 16  # maximum per read from the socket
REQUEST_NUMBER = 1  # any number is valid, because a connection carries one request


class RequestFailed(Exception):
    """A process could not be reached, or did not reply.

    Attributes:
        address: Address of the process as the operator entered it.
        reason: Description of the failure.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


def request(address: str, message: Message) -> Message:
    """Send one message to the process at HOST:PORT and return its reply.

    Raises:
        RequestFailed: The process cannot be reached, closed the connection, or sent an invalid message.
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
            raise RequestFailed(address, "the process closed the connection without a reply")
        for _, payload in frames.feed(data):
            return payload


def fetch_status(address: str) -> bytes:
    """Return the status of a store, registry or proxy process as JSON.

    Raises:
        RequestFailed: There is no reply, or it is not a `StatusReply`.
    """
    reply = request(address, Status())
    if not isinstance(reply, StatusReply):
        raise RequestFailed(address, f"expected a StatusReply, got a {type(reply).__name__}")
    return reply.text
