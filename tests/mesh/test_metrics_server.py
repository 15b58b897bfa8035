"""The first fetch of metrics loads a library, and the event loop goes on meanwhile."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest
from httptools import HttpResponseParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader
from lilacsill.mesh.runtime import metrics_server
from lilacsill.mesh.runtime.control import ControlServer
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.runtime.metrics_server import LoadEncoder, MetricsServer
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.net import reactor as watchers

LOOPBACK = "127.0.0.1"
PATIENCE_US = 5_000_000


class Caller(Connection):
    """One connection; the responses that came on it."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = Reader(HttpResponseParser, 1 << 16)
        self.responses: list[Message] = []

    def on_data(self, data: bytes) -> None:
        self.responses += self._reader.feed(data)

    def fetch(self) -> None:
        self.send(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")


class Scene:
    """A server of metrics on a free port, and callers."""

    def __init__(self, reactor: Reactor, load_encoder: LoadEncoder, patch: pytest.MonkeyPatch) -> None:
        self.reactor, servers = reactor, list[ControlServer]()

        def listen(*arguments: object, **options: object) -> ControlServer:
            servers.append(ControlServer(*arguments, **options))  # type: ignore[arg-type]
            return servers[0]

        patch.setattr(metrics_server, "ControlServer", listen)
        MetricsServer(reactor, Address(LOOPBACK, 0), load_encoder)
        self._port = servers[0].listener.port

    def caller(self) -> Caller:
        caller = Caller()
        connect(self.reactor, Address(LOOPBACK, self._port), PATIENCE_US, caller.attach, lambda error: None)
        self.until(lambda: caller.open)
        return caller

    def until(self, is_true: Callable[[], bool]) -> None:
        late: list[bool] = []
        self.reactor.after(PATIENCE_US, late.append, True)
        while not is_true():
            assert not late
            self.reactor.run_once()


@contextmanager
def scene(load_encoder: LoadEncoder, patch: pytest.MonkeyPatch) -> Iterator[Scene]:
    reactor = Reactor()
    try:
        yield Scene(reactor, load_encoder, patch)
    finally:
        reactor.close()
        watchers.install(None)


# Guards against a store that lost its read lease, since its event loop stood still during the first fetch of metrics.
def test_the_event_loop_goes_on_while_the_first_fetch_loads_the_library(monkeypatch: pytest.MonkeyPatch) -> None:
    may_end, encoded_by = threading.Event(), list[threading.Thread]()

    def encode() -> bytes:
        encoded_by.append(threading.current_thread())
        return b"figures"

    def load() -> Callable[[], bytes]:
        assert may_end.wait(PATIENCE_US / 1e6)
        return encode

    with scene(load, monkeypatch) as played:
        first, second = played.caller(), played.caller()
        first.fetch()
        second.fetch()
        ticks: list[int] = []
        played.reactor.after(30_000, ticks.append, 1)
        played.until(lambda: bool(ticks))
        assert not first.responses
        may_end.set()
        played.until(lambda: bool(first.responses and second.responses))
        assert [bytes(caller.responses[0].body) for caller in (first, second)] == [b"figures", b"figures"]
        first.fetch()
        played.until(lambda: len(first.responses) == 2)
        assert set(encoded_by) == {threading.main_thread()}


def test_where_the_library_cannot_be_loaded_a_later_fetch_tries_again(monkeypatch: pytest.MonkeyPatch) -> None:
    loads: list[int] = []

    def load() -> Callable[[], bytes]:
        loads.append(1)
        if len(loads) == 1:
            raise ImportError("no such library")
        return lambda: b"figures"

    with scene(load, monkeypatch) as played:
        caller = played.caller()
        for number in (1, 2):
            caller.fetch()
            played.until(lambda number=number: len(caller.responses) == number)  # type: ignore[misc]
        assert [response.status for response in caller.responses] == [500, 200]
        assert len(loads) == 2
