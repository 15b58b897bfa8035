"""Clients of the machines: each sends requests at its own pace, and uses a connection until its proxy closes it."""

from __future__ import annotations

import socket
from collections import deque
from random import Random
from typing import Protocol

from httptools import HttpResponseParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_request
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.loopback_processes import OUTGOING_PORT
from lilacsill.timers import Timer

from .customers import NO_KEY, Customers
from .observations import ClientRequest, Record, RequestEnd
from .workload import US_PER_MS, Habit, RouteWork, Workload, response_body, sealed_attempt

CONNECT_TIMEOUT_US = 1_000_000
RECONNECT_US = 100_000
THINK_US = 120_000  # mean pause between two requests of a client
MAX_PIPELINED = 4
AFTER_DEADLINE_US = 500_000  # a request without a response is given up so long after its deadline
SLOW_READ_BYTES, SLOW_READ_PAUSE_US = 16 * 1024, 5_000
SLOW_RECEIVE_BUFFER_BYTES = 8 * 1024
MAX_BODY_BYTES = 1 << 24
WRITE_BODY = b"w" * 300
UPLOAD_CHUNK, UPLOAD_CHUNKS, UPLOAD_PAUSE_US = b"u" * 20_000, 8, 20_000
UPLOAD_BODY = UPLOAD_CHUNK * UPLOAD_CHUNKS
UNKNOWN_KEY_SHARE = 0.01  # of the requests
FORGED_SHARE = 0.1  # of the requests say that they come from another tenant
KEY_CHANGE_SHARE = 0.3  # of the responses 401 let a client change its key; until then it uses the old one
UNAUTHORIZED = 401


def _encode(request: ClientRequest, route: RouteWork, body: bytes) -> bytes:
    headers = [
        (b"Host", b"h.example"),
        (b"Attempt-Id", request.attempt_id.encode()),
        (b"Time-Left-Ms", b"%d" % route.patience_ms),
    ]
    optional = (
        (b"Credential", request.credential),
        (b"Operation-Key", request.operation_key),
        (b"Customer", request.forged_customer),
    )
    headers += [(name, value.encode()) for name, value in optional if value]
    method = b"GET" if route.idempotent else b"POST"
    return encode_request(method, f"/{route.name}/a".encode(), headers, body)


class ClientWorld(Protocol):
    """What all clients of a soak share."""

    reactor: Reactor
    record: Record
    workload: Workload
    customers: Customers | None  # None: the deployment is not shared

    @property
    def is_over(self) -> bool:
        """Whether no more requests are to be sent."""

    def next_attempt_id(self) -> str:
        """Return an id that no other request has."""

    def on_request_sent(self, request: ClientRequest) -> None:
        """Handle that a client begins to send a request."""

    def on_request_ended(self, request: ClientRequest) -> None:
        """Handle that a request has ended for its client, in any way."""


class ConnectionOwner(Protocol):
    """What a connection reports to."""

    world: ClientWorld

    def on_response(self, request: ClientRequest) -> None:
        """Handle a response."""

    def on_connection_ended(self, connection: ClientConnection) -> None:
        """Handle the end of a connection."""


class ClientConnection(Connection):
    """One connection, and the requests on it that have no response yet, in the order of their sending."""

    def __init__(self, client: ConnectionOwner, is_slow: bool) -> None:
        super().__init__()
        self._client, self._is_slow = client, is_slow
        self._reader = Reader(HttpResponseParser, MAX_BODY_BYTES)
        self.pending: deque[ClientRequest] = deque()
        self._is_over = False

    def start(self, sock: socket.socket) -> None:
        """Take over a connected socket."""
        if self._is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        self.attach(sock)
        if self._is_slow and self.stream is not None:
            self.stream.read_limit = lambda: SLOW_READ_BYTES

    def send_request(self, request: ClientRequest, route: RouteWork) -> None:
        """Send one request behind those that are pending."""
        body = b"" if route.idempotent else UPLOAD_BODY if request.is_upload else WRITE_BODY
        self.pending.append(request)
        self.send(_encode(request, route, body))

    def start_upload(self, request: ClientRequest, route: RouteWork) -> None:
        """Send a write with a long body, one chunk after the other."""
        data = _encode(request, route, UPLOAD_BODY)
        request.is_sent = False
        self.pending.append(request)
        self._send_chunk(request, data)

    def _send_chunk(self, request: ClientRequest, data: bytes) -> None:
        if not self.open or request.end is not RequestEnd.PENDING:
            return
        self.send(data[: len(UPLOAD_CHUNK)])
        rest = data[len(UPLOAD_CHUNK) :]
        if rest:
            self._client.world.reactor.after(UPLOAD_PAUSE_US, self._send_chunk, request, rest)
        else:
            request.is_sent, request.sent_at = True, self._client.world.reactor.now()

    def on_data(self, data: bytes) -> None:
        """Match responses with requests."""
        for response in self._reader.feed(data):
            if not self.pending or self._is_over:
                self.give_up()
                return
            self._on_response(self.pending.popleft(), response)
        if self._is_slow and self.stream is not None:
            self.stream.pause()
            self._client.world.reactor.after(SLOW_READ_PAUSE_US, self._resume)

    def _resume(self) -> None:
        if self.stream is not None:
            self.stream.resume()

    def _on_response(self, request: ClientRequest, response: Message) -> None:
        route = self._client.world.workload.route(request.route)
        request.end, request.status = RequestEnd.ANSWERED, response.status
        request.ended_at = self._client.world.reactor.now()
        request.sealed_by = sealed_attempt(response.header(b"server-seal"))
        request.is_sealed = request.sealed_by == request.attempt_id
        body_of = request.sealed_by or request.attempt_id
        request.is_intact = bytes(response.body) == response_body(body_of, route.body_bytes)
        request.is_own = response.header(b"attempt-id") in (None, request.attempt_id)
        self._client.world.on_request_ended(request)
        if not response.keep_alive or not request.is_sent:
            self._finish(RequestEnd.NOT_READ, RequestEnd.NOT_READ)
        self._client.on_response(request)

    def on_end(self) -> None:
        """Handle that the proxy has closed the connection."""
        self._finish(RequestEnd.CLOSED, RequestEnd.CLOSED_BEHIND)

    def give_up(self) -> None:
        """Close the connection: the first request has no response in time."""
        self._finish(RequestEnd.GIVEN_UP, RequestEnd.NOT_READ)

    def _finish(self, first_end: RequestEnd, later_end: RequestEnd) -> None:
        if self._is_over:
            return
        self._is_over = True
        now = self._client.world.reactor.now()
        ended, self.pending = self.pending, deque()
        for number, request in enumerate(ended):
            request.end, request.ended_at = later_end if number else first_end, now
            self._client.world.on_request_ended(request)
        if self.stream is not None:
            self.drop()
        self._client.on_connection_ended(self)


class Client:
    """One client of one machine."""

    def __init__(self, world: ClientWorld, ip: str, habit: Habit, rng: Random) -> None:
        self.world, self._ip, self._habit, self._rng = world, ip, habit, rng
        self._connection: ClientConnection | None = None
        self._is_connecting = False
        self._timer: Timer | None = None
        self._key = NO_KEY if world.customers is None else world.customers.draw_key()
        self._schedule(rng.uniform(0, THINK_US))

    def _schedule(self, delay_us: float) -> None:
        if self._timer is None and not self.world.is_over:
            self._timer = self.world.reactor.after(int(delay_us), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self.world.is_over:
            return
        if self._connection is not None:
            self._send_requests(self._connection)
        elif not self._is_connecting:
            self._is_connecting = True
            address = Address(self._ip, OUTGOING_PORT)
            connect(self.world.reactor, address, CONNECT_TIMEOUT_US, self._on_connected, self._on_refused)

    def _on_connected(self, sock: socket.socket) -> None:
        self._is_connecting = False
        connection = ClientConnection(self, is_slow=self._habit is Habit.SLOW_READER)
        connection.start(sock)
        self._connection = connection
        self._send_requests(connection)

    def _on_refused(self, _error: OSError) -> None:
        self._is_connecting = False
        self._schedule(RECONNECT_US)

    def _send_requests(self, connection: ClientConnection) -> None:
        if self._habit is Habit.UPLOADER and not connection.pending:
            self._send(connection, next(route for route in self.world.workload.routes if not route.idempotent))
            return
        if self._habit is not Habit.PIPELINED:
            if not connection.pending:
                self._send(connection, self._choose_route(reads_only=False))
            return
        for _ in range(self._rng.randint(1, MAX_PIPELINED)):  # no more than have room
            self._send(connection, self._choose_route(reads_only=True))
        self._schedule(self._rng.expovariate(1 / THINK_US))

    def _choose_route(self, reads_only: bool) -> RouteWork:
        routes = [route for route in self.world.workload.routes if route.idempotent or not reads_only]
        return self._rng.choice(routes)

    def _send(self, connection: ClientConnection, route: RouteWork) -> None:
        if not connection.open or len(connection.pending) >= MAX_PIPELINED:
            return
        now = self.world.reactor.now()
        deadline_at = now + min(route.patience_ms, route.timeout_ms) * US_PER_MS
        request = ClientRequest(self.world.next_attempt_id(), self._ip, route.name, route.idempotent, now, deadline_at)
        request.is_upload = self._habit is Habit.UPLOADER
        self._identify(request, route)
        self.world.record.requests.append(request)
        self.world.on_request_sent(request)
        if request.is_upload:
            connection.start_upload(request, route)
        else:
            connection.send_request(request, route)
        patience_us = deadline_at - now + AFTER_DEADLINE_US
        self.world.reactor.after(patience_us, self._give_up_if_pending, connection, request)

    def _identify(self, request: ClientRequest, route: RouteWork) -> None:
        """Give a request what shared deployments ask for: the key of a tenant, and that of an operation."""
        customers = self.world.customers
        if customers is None:
            return
        if self._rng.random() < FORGED_SHARE:
            request.forged_customer = self._rng.choice(customers.tenants).name
        if not route.is_public:
            is_unknown = self._rng.random() < UNKNOWN_KEY_SHARE
            key = customers.unknown_key() if is_unknown else self._key
            request.tenant, request.credential = key.tenant, key.credential
        if route.is_keyed:
            request.operation_key = f"k-{request.attempt_id}"

    def _give_up_if_pending(self, connection: ClientConnection, request: ClientRequest) -> None:
        if request.end is RequestEnd.PENDING and connection.pending and connection.pending[0] is request:
            connection.give_up()

    def on_response(self, request: ClientRequest) -> None:
        """Go on after a response: a pause, then the next request."""
        customers = self.world.customers
        is_rejected = request.status == UNAUTHORIZED
        if customers is not None and is_rejected and self._rng.random() < KEY_CHANGE_SHARE:
            self._key = customers.key_of(self._key.tenant) if self._key.tenant else customers.draw_key()
        if self._habit is Habit.FRESH and self._connection is not None:
            connection, self._connection = self._connection, None
            connection.give_up()
        self._schedule(self._rng.expovariate(1 / THINK_US))

    def on_connection_ended(self, connection: ClientConnection) -> None:
        """Open another connection for the next request."""
        if connection is self._connection:
            self._connection = None
        self._schedule(RECONNECT_US)
