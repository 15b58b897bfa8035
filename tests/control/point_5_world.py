"""What the tests of point 5 share: scripted far ends of links, and callers on loopback."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.mesh.runtime.frames import encode_frame
from lilacsill.mesh.runtime.link import Link, Listener
from lilacsill.mesh.runtime.messages import (
    BodyChunk,
    Endpoint,
    Load,
    Message,
    NoResponse,
    Offer,
    Rejected,
    Response,
    Suspected,
    encode,
)
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.settings import Settings, parse_settings
from tests.mesh.stage import LOOPBACK, Client, Stage, request

IDLE = Load(0, 4, 0.0, 0.0)
SECOND = 1_000_000
HELD_US = 250_000  # past its timeout a request that is held costs


class ScriptedProxy:
    """The far end of links: answers each offer with what its script makes of the number of the exchange. A message
    goes out in one write with those beside it; None closes the link."""

    def __init__(self, reactor: Reactor, script: Callable[[int, Offer], list[tuple[int, Message] | None]]) -> None:
        self.script, self.offers, self.links = script, list[Offer](), list[Link]()
        self.listener = Listener(reactor, Address(LOOPBACK, 0), self._accepted)

    @property
    def address(self) -> Address:
        return Address(LOOPBACK, self.listener.port)

    def _accepted(self, sock: socket.socket) -> None:
        self.links.append(Link(sock, self._message, lambda link: None))

    def _message(self, link: Link, number: int, message: Message) -> None:
        if not isinstance(message, Offer):
            return
        self.offers.append(message)
        deeds = self.script(number, message)
        link.stream.send(b"".join(encode_frame(deed[0], encode(deed[1])) for deed in deeds if deed is not None))
        if None in deeds:
            link.close()


def whole(body: bytes) -> Response:
    return Response(200, [(b"Server-Seal", b"seal")], body, True, len(body), False, 1, IDLE)


def head_of(body: bytes, length: int) -> Response:
    return Response(200, [(b"Server-Seal", b"seal")], body, False, length, False, 1, IDLE)


class Heard:
    """Who offers, alone with a link: keeps what it is told."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.lost = 0
        self.then: Callable[[Message], None] = lambda message: None

    def on_suspected(self, message: Suspected) -> None:
        self.messages.append(message)

    def on_outcome(self, message: Rejected | Response | NoResponse | BodyChunk) -> None:
        self.messages.append(message)
        self.then(message)

    def on_unreachable(self) -> None:
        self.lost += 1

    def on_link_lost(self) -> None:
        self.lost += 1


def offer() -> Offer:
    return Offer("i", "stock", "reads", b"GET", b"/", [], b"", True, 0, 1000, 1000, 1, True, False, 0)


def add_scripted(s: Stage, proxy: ScriptedProxy) -> None:
    report = Endpoint("far", 1, 1, LOOPBACK, proxy.listener.port, "z", "stock", "i-far", "ready", 4, 0)
    s.forwarder.upstreams.table("stock").update(report, s.reactor.now())
    s.prefer("far")


def ask(s: Stage, method: str, path: str, left_ms: int = 1000) -> Client:
    return s.client(request(method, path, 1, b"body" if method == "POST" else b"", left_ms=left_ms))


def statuses(s: Stage, client: Client, count: int = 1) -> list[int]:
    s.until(lambda: len(client.answers) >= count, "the answer")
    s.settle()
    return [a.status for a in client.answers]


def caller(s: Stage, port: int, data: bytes) -> Client:
    client = Client()
    sock = socket.create_connection((LOOPBACK, port))
    sock.setblocking(False)
    client.attach(sock)
    client.send(data)
    return client


def settings() -> Settings:
    listen = {"ControlPort": f"{LOOPBACK}:0"}
    raw = {"NodeName": "me", "ZoneName": "z", "IpAddress": LOOPBACK, "InternalPorts": [1, 1], "SeedNodes": []}
    return parse_settings("test", {**raw, "ListenOn": listen, "AppAddress": f"{LOOPBACK}:1"})
