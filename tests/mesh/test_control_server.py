"""The server for calls of platform, backends and operators: callers that send much, read nothing, or stay silent."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from lilacsill.address import Address
from lilacsill.http1.message import Message, encode_request
from lilacsill.mesh.runtime.control import MAX_BODY_BYTES, MAX_UNSENT_BYTES, ControlServer, Responder
from lilacsill.mesh.runtime.memory_budget import MemoryBudget
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.resource_limits import ResourceLimits

LOOPBACK = "127.0.0.1"
ITERATIONS = 5_000  # of the event loop; a test that takes more has failed
MAX_CALLERS = 3
CALL = encode_request(b"GET", b"/a", [(b"Host", b"h")])


class Service:
    """A server on loopback; `calls` are the requests that it has handled."""

    def __init__(self, reactor: Reactor, response: bytes) -> None:
        self._reactor, self._response = reactor, response
        self.calls: list[Message] = []
        self.memory = MemoryBudget(1 << 20)
        limits = ResourceLimits(memory=self.memory, clients=0, links=0, callers=MAX_CALLERS)
        self.server = ControlServer(reactor, Address(LOOPBACK, 0), self._handle, limits=limits)
        self._callers: list[socket.socket] = []

    def _handle(self, request: Message, respond: Responder) -> None:
        self.calls.append(request)
        respond(200, self._response)

    def caller(self) -> socket.socket:
        caller = socket.create_connection((LOOPBACK, self.server.listener.port))
        caller.setblocking(False)
        self._callers.append(caller)
        return caller

    def run(self) -> None:
        """Run until nothing happens any more."""
        for _ in range(ITERATIONS):
            before = len(self.calls)
            for _ in range(5):
                self._reactor.after(1_000, lambda: None)  # so that the loop does not wait for an event
                self._reactor.run_once()
            if len(self.calls) == before:
                return

    def close(self) -> None:
        self.server.close()
        for caller in self._callers:
            caller.close()
        self.run()


@contextmanager
def service(reactor: Reactor, response: bytes = b"{}") -> Iterator[Service]:
    made = Service(reactor, response)
    yield made
    made.close()
    assert made.memory.used == 0


def received(caller: socket.socket) -> bytes:
    data = b""
    try:
        while part := caller.recv(1 << 20):
            data += part
    except (BlockingIOError, ConnectionResetError):
        pass
    return data


def test_many_calls_that_are_sent_ahead_are_answered(reactor: Reactor) -> None:
    """Guards against a stack that grows with the calls: after some hundred of them the connection answered no more."""
    with service(reactor) as served:
        caller = served.caller()
        caller.sendall(CALL * 1000)
        served.run()
        assert len(served.calls) == 1000 and received(caller).count(b"HTTP/1.1 200") == 1000


def test_calls_wait_while_their_caller_reads_nothing(reactor: Reactor) -> None:
    response = b"x" * 100_000
    with service(reactor, response) as served:
        caller = served.caller()
        caller.sendall(CALL * 500)
        served.run()
        handled = len(served.calls)
        held = [connection.unsent for connection in served.server.connections]
        assert handled < 200 and max(held) <= MAX_UNSENT_BYTES + 2 * len(response)
        for _ in range(500):
            received(caller)
            served.run()
        assert len(served.calls) == 500


def test_a_body_over_the_limit_is_answered_with_413(reactor: Reactor) -> None:
    with service(reactor) as served:
        caller = served.caller()
        caller.sendall(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1))
        served.run()
        assert b"HTTP/1.1 413" in received(caller) and not served.calls


def test_the_caller_that_has_been_silent_for_longest_makes_room(reactor: Reactor) -> None:
    with service(reactor) as served:
        silent = served.caller()
        served.run()
        others = [served.caller() for _ in range(MAX_CALLERS)]
        served.run()
        for other in others:
            other.sendall(CALL)
        served.run()
        assert len(served.calls) == MAX_CALLERS and silent.recv(1) == b""


def test_unfinished_bodies_beyond_the_budget_are_closed(reactor: Reactor) -> None:
    with service(reactor) as served:
        served.memory.limit = 3 * MAX_BODY_BYTES // 2
        callers = [served.caller() for _ in range(MAX_CALLERS)]
        for caller in callers:
            caller.sendall(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
            caller.sendall(b"x" * (MAX_BODY_BYTES - 1))
            for _ in range(10):
                served.run()
        assert served.memory.evictions > 0 and served.memory.used <= served.memory.limit
        assert len(served.server.connections) < MAX_CALLERS
