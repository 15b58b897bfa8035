"""The application's side: requests read and checked, answers written."""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

import h11

from brasshead.interface import Effect, RequestClass, Settings, Tenant

from .connection import Connection, Headers, header
from .discovery import Address

log = logging.getLogger(__name__)

API, HEALTH = "/api", "/_health"
BODY_LIMIT = 64 * 1024
AHEAD_LIMIT = 128 * 1024  # of what comes while a request is in hand
TIMEOUT_LIMIT_MS = 24 * 3600 * 1000
LINGER_S = 1.0  # after an answer given in the middle of a request
POLL_S = 0.01  # while the last requests end
FORWARDED = (b"request-id", b"idempotency-key", b"request-class", b"tenant", b"content-type")


@dataclass(slots=True, eq=False)
class Call:
    """One request of the application, checked, and the way to answer it."""

    method: str
    target: str
    headers: Headers  # those that go on to a backend
    body: bytes
    request_class: int
    tenant: int
    patience_us: int
    key: int
    cost_us: int
    is_retry: bool
    respond: Callable[[Call, int, Headers, bytes], None]
    number: int = 0  # given by whoever takes it


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """The stages of a stop, in seconds from its start."""

    idle_s: float  # then idle connections are closed
    serve_s: float  # until then new connections are served
    end_s: float  # then all is over


class Taker(Protocol):
    """Who takes the calls."""

    def take(self, call: Call) -> None: ...

    def leave(self, call: Call) -> None:
        """The client has gone."""

    def give_up_all(self) -> None:
        """Answer at once whatever is held."""


class Rejected(Exception):
    """A request that cannot be taken; it never reaches the module."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Checker:
    """Turns a request's head and body into a Call, or says what is wrong with it."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {c.name: (i, c.effect) for i, c in enumerate(classes)}
        self._tenants = {t.name: i for i, t in enumerate(tenants)}

    def check(self, request: h11.Request, body: bytes,
              respond: Callable[[Call, int, Headers, bytes], None]) -> Call:
        headers = list(request.headers)
        index, effect = self._class(headers)
        method = request.method.decode("ascii")
        if method != ("GET" if effect is Effect.SAFE else "POST"):
            raise Rejected(400, "method does not fit the class")
        if not header(headers, b"request-id"):
            raise Rejected(400, "Request-Id is missing")
        # Without its key no backend could tell a repeat from a new request.
        if (effect is Effect.KEYED) != bool(header(headers, b"idempotency-key")):
            raise Rejected(400, "Idempotency-Key does not fit the class")
        target = request.target.decode("ascii")
        return Call(
            method, target, [(k.decode("ascii"), v.decode("latin-1")) for k, v in headers if k in FORWARDED],
            body, index, self._tenant(headers), self._patience_us(headers), _key(target),
            _work_hint(header(headers, b"work-hint")), header(headers, b"client-retry") == "1", respond,
        )

    def _class(self, headers: list[tuple[bytes, bytes]]) -> tuple[int, Effect]:
        found = self._classes.get(header(headers, b"request-class") or "")
        if found is None:
            raise Rejected(400, "unknown Request-Class")
        return found

    def _tenant(self, headers: list[tuple[bytes, bytes]]) -> int:
        if not self._tenants:
            return 0
        index = self._tenants.get(header(headers, b"tenant") or "")
        if index is None:
            raise Rejected(400, "unknown Tenant")
        return index

    def _patience_us(self, headers: list[tuple[bytes, bytes]]) -> int:
        text = header(headers, b"request-timeout-ms") or ""
        if not (text.isascii() and text.isdigit() and len(text) < 10):
            raise Rejected(400, "bad Request-Timeout-Ms")
        ms = int(text)
        if not 0 < ms <= TIMEOUT_LIMIT_MS:
            raise Rejected(400, "bad Request-Timeout-Ms")
        return ms * 1000


def _key(target: str) -> int:
    """Equal objects give equal keys; 0 is none."""
    obj = parse_qs(urlsplit(target).query).get("obj")
    return (crc32(obj[0].encode()) or 1) if obj else 0


def _work_hint(text: str | None) -> int:
    """A hint is a help only: a bad one is none."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 10 else 0


class _Client(Connection):
    """A connection of the application; one request at a time."""

    def __init__(self, server: Server) -> None:
        super().__init__(h11.SERVER)
        self._server = server
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._call: Call | None = None

    @property
    def idle(self) -> bool:
        """Nothing of a request has come, as far as the kernel knows."""
        return (self._call is None and self.http.their_state is h11.IDLE and not self.http.trailing_data[0]
                and not self.deaf and self.quiet())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        # What a client sends ahead is kept unread in memory: without a bound one client could fill it.
        ahead = len(self.http.trailing_data[0]) if self._call is not None else 0
        if ahead > AHEAD_LIMIT and self.transport is not None:
            self.transport.pause_reading()

    def on_event(self, event: h11.Event) -> None:
        try:
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > BODY_LIMIT:
                    raise Rejected(413, "body too large")
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
        except Rejected as e:
            self._respond(e.status, [], f"{e}\n".encode())

    def on_broken(self, error: Exception) -> None:
        """Malformed HTTP is the client's fault, anything else ours; either is answered."""
        call, self._call = self._call, None
        if call is not None:
            self._server.taker.leave(call)
        status = 400 if isinstance(error, h11.RemoteProtocolError) else 500
        if self.transport is None or self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.drop()
            return
        self._respond(status, [], b"malformed request\n" if status == 400 else b"internal error\n")

    def on_end(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            self._server.taker.leave(call)

    def _begin(self, request: h11.Request) -> None:
        self._request, self._body = request, bytearray()
        names = [name for name, _ in request.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Whoever reads the other length sees another request in the body: none of it is believed.
            raise Rejected(400, "both Content-Length and Transfer-Encoding")
        length = header(list(request.headers), b"content-length")
        if length is not None and int(length) > BODY_LIMIT:
            raise Rejected(413, "body too large")
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _complete(self) -> None:
        assert self._request is not None
        path = self._request.target.partition(b"?")[0].decode("latin-1")
        if path == HEALTH:
            return self._respond(503 if self._server.draining else 200, [], b"")
        if path != API:
            raise Rejected(404, "no such path")
        self._call = self._server.checker.check(self._request, bytes(self._body), self._answer)
        self._server.taker.take(self._call)

    def _answer(self, call: Call, status: int, headers: Headers, body: bytes) -> None:
        if self._call is call:
            self._call = None
            self._respond(status, headers, body)

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        fields = [*headers, ("Content-Length", str(len(body)))]
        whole = self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        if self._server.draining or not whole:
            fields.append(("Connection", "close"))
        head = self._request is not None and self._request.method == b"HEAD"
        data = [] if head or not body else [h11.Data(data=body)]
        self.send(h11.Response(status_code=status, headers=fields), *data, h11.EndOfMessage())
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._request = None
            self.transport.resume_reading()  # no effect where it was not paused
            if self.http.trailing_data[0]:
                asyncio.get_running_loop().call_soon(self.resume_reading)
        elif whole:
            self.transport.close()
        else:
            self._linger()

    def _linger(self) -> None:
        """Read and drop the rest: closing on unread bytes would reset the answer away."""
        assert self.transport is not None
        self.deaf = True
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.transport.abort)


class Server:
    """Listens for the application."""

    def __init__(self, settings: Settings, taker: Taker, most: int) -> None:
        self.taker = taker
        self._most = most  # connections at once, so that descriptors are left for backends
        self.checker = Checker(settings.classes, settings.tenants)
        self.connections: set[_Client] = set()
        self.draining = False  # answers ask the client to close
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        """Returns the port, for an address whose port is 0."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Client(self), address.host, address.port, backlog=512)
        return int(self._listener.sockets[0].getsockname()[1])

    def came(self, client: _Client) -> None:
        """One more connection. Beyond the limit an idle one makes way, or accepting would fail for all."""
        if len(self.connections) >= self._most:
            idle = next((c for c in self.connections if c.idle), None)
            if idle is not None:
                idle.close()
        self.connections.add(client)

    async def drain(self, times: DrainTimes) -> None:
        """Take leave of the clients: nothing that was taken is lost."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.draining = True
        await asyncio.sleep(times.idle_s)
        # A request that crosses this close is sent again on a new connection; these still come.
        self._close_idle()
        await asyncio.sleep(times.serve_s - times.idle_s)
        while self.connections and loop.time() < began + times.end_s:
            self._close_idle()
            await asyncio.sleep(POLL_S)
        self.taker.give_up_all()
        while any(not c.written for c in self.connections) and loop.time() < began + times.end_s + POLL_S:
            await asyncio.sleep(POLL_S / 10)
        # Open to the end: closing it resets what has come in and is not accepted yet.
        self.stop()

    def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()

    def _close_idle(self) -> None:
        for client in [c for c in self.connections if c.idle]:
            client.close()
