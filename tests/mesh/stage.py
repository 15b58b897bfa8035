"""A proxy, the proxies beside some backends, and scripted backends, on loopback in one loop; nothing sleeps."""

from __future__ import annotations

import re
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import msgspec
from httptools import HttpRequestParser, HttpResponseParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader
from lilacsill.mesh.proxy.offer_server import OfferServer
from lilacsill.mesh.proxy.backend_gateway import BackendGateway
from lilacsill.mesh.proxy.forwarder import Forwarder
from lilacsill.mesh.proxy.client_listener import ClientListener
from lilacsill.mesh.proxy.backend_lifecycle import BackendHeartbeat, BackendLifecycle
from lilacsill.mesh.proxy.retry_budget import RetryBudgetSettings
from lilacsill.mesh.proxy.upstreams import Upstreams
from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.messages import Endpoint, IndirectPing, Item, OperationQuery, OperationReply, Relay
from lilacsill.mesh.runtime.messages import Message as MeshMessage
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.net import reactor as watchers

LOOPBACK = "127.0.0.1"
PATIENCE_US = 5_000_000  # a test that takes longer has failed


def answer(request: Message, body: bytes, status: bytes = b"200 OK", more: bytes = b"") -> bytes:
    """As a backend's."""
    return b"HTTP/1.1 %b\r\nAttempt-Id: %b\r\nServer-Seal: seal\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        request.fields.get(b"attempt-id", b""),
        more,
        len(body),
        body,
    )


def _without_length(request: Message, body: bytes) -> bytes:
    """A response that ends with its connection."""
    head, _, _ = answer(request, b"").partition(b"Content-Length")
    return head + b"\r\n" + body


class Backend:
    """One that does with each request what its script says; `ran` are the requests that it took."""

    def __init__(self, reactor: Reactor, name: str) -> None:
        self.reactor, self.name, self.ran = reactor, name, list[Message]()
        self.refused: list[Message] = []  # requests that it did not run
        self.script: list[str] = []
        self.answers_early = False  # before the body has come; the connection stays open
        self.prepared: Callable[[Message], bytes] = lambda request: answer(request, b"prepared")
        self.connections: list[BackendConnection] = []
        self.listener = Listener(reactor, Address(LOOPBACK, 0), self._accepted)

    def _accepted(self, sock: socket.socket) -> None:
        connection = BackendConnection(self)
        connection.attach(sock)
        self.connections.append(connection)


class BackendConnection(Connection):
    def __init__(self, backend: Backend) -> None:
        super().__init__()
        self._backend, self._reader = (
            backend,
            Reader(HttpRequestParser, 1 << 20, keep_header_lines=True, head_limit=1 << 20),
        )
        self._before: Message | None = None

    def on_data(self, data: bytes) -> None:
        complete = self._reader.feed(data)
        if self._backend.answers_early and self._reader.current is not None and self._reader.in_body:
            self._backend.answers_early = False
            self.send(answer(self._reader.current, b"early"))
        for request in complete:
            backend = self._backend
            deed = backend.script.pop(0) if backend.script else "answers"
            backend.ran.append(request)
            getattr(self, "_" + deed.replace(" ", "_"))(request)
            self._before = request

    def _answers(self, request: Message) -> None:
        self.send(answer(request, self._backend.name.encode() + b" " + request.target))

    def _answers_late(self, request: Message) -> None:
        self._backend.reactor.after(100_000, self._answers, request)

    def _closes(self, request: Message) -> None:
        self.drop()

    def _cuts_its_answer(self, request: Message) -> None:
        whole = answer(request, b"x" * 100)
        self.send(whole[:-50])
        self.close()

    def _cuts_a_long_answer(self, request: Message) -> None:
        whole = answer(request, b"x" * 300_000)
        self.send(whole[:-50])
        self.close()

    def _answers_long(self, request: Message) -> None:
        self.send(answer(request, b"y" * 300_000))

    def _answers_twice(self, request: Message) -> None:
        self.send(answer(request, b"first") + answer(request, b"second"))

    def _answers_for_another_first(self, request: Message) -> None:
        other = Message()
        other.fields[b"attempt-id"] = b"another"
        self.send(answer(other, b"not yours"))
        self._answers(request)

    def _answers_without_seal(self, request: Message) -> None:
        self.send(answer(request, b"?").replace(b"Server-Seal: seal\r\n", b""))

    def _says_nonsense(self, request: Message) -> None:
        self.send(b"%% no answer %%\r\n\r\n")

    def _sends_what_is_prepared(self, request: Message) -> None:
        self.send(self._backend.prepared(request))

    def _did_not_run_it(self, request: Message) -> None:
        self._backend.ran.pop()
        self.send(answer(request, b"", b"503 Service Unavailable", b"Not-Run: 1\r\n"))

    def _did_not_run_it_at_last(self, request: Message) -> None:
        self._backend.refused.append(request)
        self._backend.reactor.after(100_000, self._did_not_run_it, request)

    def _answers_until_it_closes(self, request: Message) -> None:
        self.send(_without_length(request, b"all of it"))
        self.close()

    def _answers_at_length_until_it_closes(self, request: Message) -> None:
        self.send(_without_length(request, b"u" * 300_000))
        self.close()

    def _resets_an_answer_without_length(self, request: Message) -> None:
        self._reset_after(_without_length(request, b"a part"))

    def _resets_a_long_answer_without_length(self, request: Message) -> None:
        self._reset_after(_without_length(request, b"u" * 200_000))

    def _reset_after(self, data: bytes) -> None:
        assert self.stream is not None
        self.send(data)
        self._backend.reactor.after(20_000, self._reset)

    def _reset(self) -> None:
        if self.stream is not None:
            linger = struct.pack("ii", 1, 0)  # a close then resets the connection
            self.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.drop()

    def _answers_much_later(self, request: Message) -> None:
        self._backend.reactor.after(600_000, self._answers, request)

    def _answers_late_and_holds_one(self, request: Message) -> None:
        self._backend.reactor.after(200_000, self._holds_one, request)

    def _answers_later_and_holds_one(self, request: Message) -> None:
        self._backend.reactor.after(400_000, self._holds_one, request)

    def _holds_one(self, request: Message) -> None:
        self.send(answer(request, b"late", more=b"Server-Load: 1,0,4\r\n"))

    def _counts(self, request: Message) -> None:
        self.send(answer(request, b"%d" % len(request.body)))

    def _answers_without_end(self, request: Message) -> None:
        self.send(answer(request, b"z" * 60_000_000))

    def _fails(self, request: Message) -> None:
        self.send(answer(request, b"sorry", b"500 Internal Server Error"))

    def _fails_at_length(self, request: Message) -> None:
        self.send(answer(request, b"e" * 300_000, b"500 Internal Server Error"))

    def _answers_at_great_length(self, request: Message) -> None:
        self.send(answer(request, b"g" * 3_000_000))

    def _is_full_without_a_promise(self, request: Message) -> None:
        self.send(answer(request, b"full?", b"503 Service Unavailable"))

    def _is_not_the_one_meant(self, request: Message) -> None:
        self._backend.ran.pop()
        self.send(answer(request, b"", b"421 Misdirected Request"))

    def _is_silent(self, request: Message) -> None:
        pass


class Client(Connection):
    """A client's connection; what it received whole, in order."""

    def __init__(self) -> None:
        super().__init__()
        self._reader = Reader(HttpResponseParser, 1 << 24, keep_header_lines=True)
        self.answers: list[Message] = []
        self.over = self.cut = False
        self.reads = True

    def on_data(self, data: bytes) -> None:
        self.answers += self._reader.feed(data)

    def on_end(self) -> None:
        self.over = True
        self.cut = self._reader.current is not None


class NoQueries:
    """Stands for the process, which nobody asks for its status or for pings."""

    def status(self) -> bytes:
        raise AssertionError("nobody asks for the status")

    def operation(self, query: OperationQuery) -> OperationReply:
        raise AssertionError("nobody asks for an operation")

    def indirect_ping(self, request: IndirectPing, reply: Callable[[MeshMessage], None]) -> None:
        raise AssertionError("nobody asks for a ping")

    def relay(self, relay: Relay, reply: Callable[[MeshMessage], None]) -> None:
        raise AssertionError("nobody asks for a relay")


class Stage:
    """One route at h.example: /reads/ and /writes/, to the service `stock`; proxies beside the backends by name."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.backends: dict[str, Backend] = {}
        self.lives: dict[str, BackendLifecycle] = {}
        self.gateways: dict[str, BackendGateway] = {}
        self.doors: dict[str, OfferServer] = {}
        routes = ActiveConfig()
        routes.apply([self.route("reads", "read_only", 1), self.route("writes", "writes", 2)], 2)
        gateway = BackendGateway(reactor, BackendLifecycle(2_000_000), Address(LOOPBACK, 1))
        rng = Random(1)
        upstreams = Upstreams(reactor, gateway, "near", RetryBudgetSettings(0.2, 10_000_000, 1000.0), rng)
        self.forwarder = Forwarder(reactor, routes, upstreams, "desk", rng, lambda: True)
        self.clients = ClientListener(reactor, Address(LOOPBACK, 0), self.forwarder)

    @staticmethod
    def route(name: str, kind: str, seq: int, tries: int = 3) -> Item:
        rule = {
            "Name": name,
            "ConfigVersion": f"r{seq}",
            "RouteKind": kind,
            "TargetMs": 500,
            "Rank": 1,
            "When": {"PathPrefix": f"/{name}/"},
            "Then": {"TargetService": "stock", "TimeoutMs": 1000, "MaxTries": tries},
        }
        return Item("route", name, seq, seq, msgspec.json.encode({"Host": "h.example", "Rule": rule}))

    def add(self, name: str, slots: int = 4) -> Backend:
        backend = self.backends[name] = Backend(self.reactor, name)
        life = self.lives[name] = BackendLifecycle(2_000_000)
        life.on_heartbeat(BackendHeartbeat(f"i-{name}", "stock", slots, False, 1, 0), self.reactor.now())
        gateway = self.gateways[name] = BackendGateway(self.reactor, life, Address(LOOPBACK, backend.listener.port))
        self.doors[name] = OfferServer(self.reactor, Address(LOOPBACK, 0), gateway, NoQueries())
        self.tell(name, slots)
        return backend

    def tell(self, name: str, slots: int = 4, server: str = "") -> None:
        """News reach the near proxy."""
        endpoint = Endpoint(
            name, 1, 1, LOOPBACK, self.doors[name].listener.port, "z", "stock", server or f"i-{name}", "ready", slots, 0
        )
        self.forwarder.upstreams.table("stock").update(endpoint, self.reactor.now())

    def prefer(self, name: str) -> None:
        """The others are out of reach for the first choice."""
        for node, entry in self.forwarder.upstreams.table("stock").entries.items():
            entry.ejected_until = 0 if node == name else self.reactor.now() + 60_000_000

    def client(self, data: bytes) -> Client:
        client = Client()
        sock = socket.create_connection((LOOPBACK, self.clients.listener.port))
        sock.setblocking(False)
        client.attach(sock)
        client.send(data)
        return client

    def until(self, true: Callable[[], bool], what: str) -> None:
        """Run the loop until it is so."""
        late: list[bool] = []
        self.reactor.after(PATIENCE_US, late.append, True)
        while not true():
            assert not late, f"not within {PATIENCE_US / 1e6} s: {what}"
            self.reactor.run_once()

    def settle(self) -> None:
        """Run what is due now."""
        done: list[bool] = []
        self.reactor.after(20_000, done.append, True)
        while not done:
            self.reactor.run_once()


@contextmanager
def stage() -> Iterator[Stage]:
    reactor = Reactor()
    try:
        yield Stage(reactor)
    finally:
        reactor.close()
        watchers.install(None)


def request(method: str, path: str, number: int, body: bytes = b"", more: str = "", left_ms: int = 1000) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a{number}\r\nTime-Left-Ms: {left_ms}\r\n{more}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def words(text: str) -> list[str]:
    return re.findall(r"\S+", text)
