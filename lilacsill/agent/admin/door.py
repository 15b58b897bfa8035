"""The operators' door: one call to a connection, few callers, none of them for long."""

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
from .calls import JSON, Call, Refused, read_call

CALLERS = 12  # at once; the one that has waited for longest makes way
CALL_S = 2.0  # to say what is wanted, and to read the answer
BODY_LIMIT = 4096  # calls have no body; one that is sent is read and means nothing
DESCRIPTORS = CALLERS + 2  # the listener, and a caller that is just accepted

Answer = Mapping[str, Any]


class _Caller(Connection):
    """One caller; it gets one answer and is closed."""

    def __init__(self, door: Door) -> None:
        super().__init__()
        self._door = door
        self._reader = Reader(HttpRequestParser, BODY_LIMIT)

    def on_data(self, data: bytes) -> None:
        whole = self._reader.feed(data)
        if whole:
            message = whole[0]
            self._tell(*self._door.called(message.method.decode("latin-1"), message.target.decode("latin-1")))
        elif self._reader.error is not None:
            self._tell(self._reader.error.status, {"error": str(self._reader.error)})

    def expire(self) -> None:
        """It has had its time."""
        if not self.discarding:
            self._tell(408, {"error": "no call came in time"})
        self.drop()

    def on_fault(self) -> None:
        self.discarding = False
        self._tell(500, {"error": "internal error"})

    def connection_lost(self) -> None:
        super().connection_lost()
        self._reader.end()
        self._door.left(self)

    def _tell(self, status: int, what: Answer, allow: str = "") -> None:
        self.discarding = True
        headers = [("Connection", "close"), ("Content-Type", JSON)]
        if allow:
            headers.append(("Allow", allow))
        self.send(encode_response(status, headers, json.dumps(what).encode() + b"\n"))
        if self.stream is not None:
            self.stream.half_close()  # closing on unread bytes would reset the answer away


class Door:
    """Listens for operators. `carry_out` returns what is told with a yes, or raises Refused."""

    def __init__(
        self, carry_out: Callable[[Call], Answer], spare: SpareDescriptor, short: Callable[[str], None]
    ) -> None:
        self._carry_out, self._spare, self._short = carry_out, spare, short
        self._loop = asyncio.get_running_loop()
        self._callers: dict[_Caller, asyncio.TimerHandle] = {}  # longest here first
        self._accepting: AcceptLoop | None = None

    def listen(self, address: Address) -> int:
        """Returns the port, for an address whose port is 0. Raises OSError."""
        sock = create_listener(address.host, address.port)
        self._accepting = AcceptLoop(sock, self._spare, self._accepted, self._short, lambda: True)
        self._accepting.start()
        return int(sock.getsockname()[1])

    def stop(self) -> None:
        if self._accepting is not None:
            self._accepting.stop()
        for caller in list(self._callers):
            caller.drop()

    def called(self, method: str, target: str) -> tuple[int, Answer, str]:
        """What a call is answered with; what it asks for is done by then."""
        try:
            call = read_call(method, target)
            told = self._carry_out(call)
        except Refused as e:
            return e.status, {"error": str(e)}, e.allow
        return 200, told, ""

    def left(self, caller: _Caller) -> None:
        timer = self._callers.pop(caller, None)
        if timer is not None:
            timer.cancel()

    def _accepted(self, sock: socket.socket, host: str, tight: bool) -> None:
        if len(self._callers) >= CALLERS:
            longest = next(iter(self._callers))
            self.left(longest)
            longest.drop()
        sock.setblocking(False)
        caller = _Caller(self)
        self._callers[caller] = self._loop.call_later(CALL_S, caller.expire)
        try:
            caller.attach(sock)
        except OSError:
            self.left(caller)
            raise
        assert caller.stream is not None
        caller.stream.receive()  # who asks as soon as it has connected has asked already
