"""The server of the admin API: one call per connection, with few and short-lived connections."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Mapping
from typing import Any

from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Reader, encode_response

from ..descriptors import SpareDescriptor
from ..inbound.accept import AcceptLoop, create_listener
from .calls import JSON, Call, CallRejected, parse_call

MAX_CALLERS = 12  # concurrent connections; one more closes the oldest
CALL_TIMEOUT_S = 2.0  # for a caller to send the call and read the response
MAX_BODY_BYTES = 4096  # a body is ignored, since calls have none
MAX_DESCRIPTORS = MAX_CALLERS + 2  # plus the listener and a newly accepted connection

ResponseBody = Mapping[str, Any]  # a JSON object


class _CallerConnection(Connection):
    """The connection of one caller, which is closed after one response."""

    def __init__(self, server: AdminServer) -> None:
        super().__init__()
        self._server = server
        self._reader = Reader(HttpRequestParser, MAX_BODY_BYTES)

    def on_data(self, data: bytes) -> None:
        """Parse the call and respond to it."""
        complete = self._reader.feed(data)
        if complete:
            message = complete[0]
            self._respond(*self._server.handle(message.method.decode("latin-1"), message.target.decode("latin-1")))
        elif self._reader.error is not None:
            self._respond(self._reader.error.status, {"error": str(self._reader.error)})

    def expire(self) -> None:
        """Close the connection after CALL_TIMEOUT_S, with status 408 if no response was sent."""
        if not self.discarding:
            self._respond(408, {"error": "no call came in time"})
        self.drop()

    def on_fault(self) -> None:
        """Respond with status 500."""
        self.discarding = False
        self._respond(500, {"error": "internal error"})

    def connection_lost(self) -> None:
        """Release the reader and remove the connection from the server."""
        super().connection_lost()
        self._reader.end()
        self._server.remove_caller(self)

    def _respond(self, status: int, body: ResponseBody, allow: str = "") -> None:
        self.discarding = True
        headers = [("Connection", "close"), ("Content-Type", JSON)]
        if allow:
            headers.append(("Allow", allow))
        self.send(encode_response(status, headers, json.dumps(body).encode() + b"\n"))
        if self.stream is not None:
            self.stream.half_close()  # closing with unread bytes would reset the connection and could lose the response


class AdminServer:
    """Accepts the connections of operators and executes their calls.

    Args:
        execute: Executes a call and returns the response, or raises CallRejected.
        spare: The spare descriptor, used to accept a connection if no other is left.
        on_exhausted: Called with the purpose of the descriptor when none is left.
    """

    def __init__(
        self, execute: Callable[[Call], ResponseBody], spare: SpareDescriptor, on_exhausted: Callable[[str], None]
    ) -> None:
        self._execute, self._spare, self._on_exhausted = execute, spare, on_exhausted
        self._loop = asyncio.get_running_loop()
        self._callers: dict[_CallerConnection, asyncio.TimerHandle] = {}  # oldest first
        self._accept_loop: AcceptLoop | None = None

    def listen(self, address: Address) -> int:
        """Listen on an address and return the port, which the kernel selects if the port of the address is 0.

        Raises:
            OSError: The address cannot be listened on.
        """
        sock = create_listener(address.host, address.port)
        self._accept_loop = AcceptLoop(sock, self._spare, self._on_accepted, self._on_exhausted, lambda: True)
        self._accept_loop.start()
        return int(sock.getsockname()[1])

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._accept_loop is not None:
            self._accept_loop.stop()
        for caller in list(self._callers):
            caller.drop()

    def handle(self, method: str, target: str) -> tuple[int, ResponseBody, str]:
        """Execute a call; return the status, the body and the value of the Allow header (empty: none)."""
        try:
            body = self._execute(parse_call(method, target))
        except CallRejected as rejection:
            return rejection.status, {"error": str(rejection)}, rejection.allow
        return 200, body, ""

    def remove_caller(self, caller: _CallerConnection) -> None:
        """Remove a connection and cancel its timer."""
        timer = self._callers.pop(caller, None)
        if timer is not None:
            timer.cancel()

    def _on_accepted(self, sock: socket.socket, host: str, on_spare: bool) -> None:
        if len(self._callers) >= MAX_CALLERS:
            oldest = next(iter(self._callers))
            self.remove_caller(oldest)
            oldest.drop()
        sock.setblocking(False)
        caller = _CallerConnection(self)
        self._callers[caller] = self._loop.call_later(CALL_TIMEOUT_S, caller.expire)
        try:
            caller.attach(sock)
        except OSError:
            self.remove_caller(caller)
            raise
        assert caller.stream is not None
        caller.stream.receive()  # the call has usually arrived already
