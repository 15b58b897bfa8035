"""Keyed writes that are sent several times: after failures, after good responses, and by several proxies at once."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import connect
from lilacsill.mesh.simulation.loopback_processes import OUTGOING_PORT

from .client import AFTER_DEADLINE_US, CONNECT_TIMEOUT_US, ClientConnection, ClientWorld
from .observations import ClientRequest, Record, RequestEnd
from .workload import US_PER_MS

MAX_ATTEMPTS = 6  # of one operation, the first one and those sent at once included
MIN_DELAY_US, MAX_DELAY_US = 5_000, 400_000  # from the end of an attempt to the next one
REPEATED_SHARE = 0.2  # of the operations with a good response are sent again
RACING_SHARE = 0.1  # of the operations go to several proxies at once
MAX_RACING = 3
CLOSING_REPEATS = 40  # operations that are sent again after the closing fault
FINAL_STATUSES = (400, 401, 404, 413, 431)  # nothing is tried again after these
GOOD_STATUS = 200


class SingleRequest:
    """Sends one request on a connection of its own."""

    def __init__(self, world: ClientWorld, request: ClientRequest) -> None:
        """Connect to the proxy of the request; it is recorded once it is sent."""
        self.world, self._request = world, request
        self._connection: ClientConnection | None = None
        address = Address(request.ip, OUTGOING_PORT)
        connect(world.reactor, address, CONNECT_TIMEOUT_US, self._on_connected, self._on_refused)

    def _on_connected(self, sock: socket.socket) -> None:
        request, route = self._request, self.world.workload.route(self._request.route)
        connection = self._connection = ClientConnection(self, is_slow=False)
        connection.start(sock)
        request.begun_at = request.sent_at = self.world.reactor.now()
        request.deadline_at = request.sent_at + min(route.patience_ms, route.timeout_ms) * US_PER_MS
        self.world.record.requests.append(request)
        connection.send_request(request, route)
        patience_us = request.deadline_at - request.sent_at + AFTER_DEADLINE_US
        self.world.reactor.after(patience_us, self._give_up_if_pending, connection)

    def _on_refused(self, _error: OSError) -> None:
        """Leave it: no proxy listens there, so nothing was sent."""

    def _give_up_if_pending(self, connection: ClientConnection) -> None:
        if self._request.end is RequestEnd.PENDING:
            connection.give_up()

    def on_response(self, _request: ClientRequest) -> None:
        """Close the connection: many clients at once would need many descriptors otherwise."""
        if self._connection is not None:
            self._connection.give_up()

    def on_connection_ended(self, connection: ClientConnection) -> None:
        """Do nothing: there is no further request."""


class RepeatWorld(Protocol):
    """What repeats need of the soak."""

    record: Record

    def next_attempt_id(self) -> str:
        """Return an id that no other request has."""
        ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: object) -> object:
        """Call something later."""
        ...

    def send_single(self, request: ClientRequest) -> None:
        """Send a request on a connection of its own."""
        ...


class OperationRepeater:
    """Repeats the operations of all clients.

    Attributes:
        is_over: No more operations are repeated.
    """

    def __init__(self, world: RepeatWorld, proxy_ips: list[str], rng: Random) -> None:
        """Prepare; `proxy_ips` are those that repeats go to."""
        self._world, self._proxy_ips, self._rng = world, proxy_ips, rng
        self._attempts: dict[str, int] = {}  # by the key of the operation
        self.is_over = False

    def on_sent(self, request: ClientRequest) -> None:
        """Send some new operations to other proxies at the same time."""
        if not request.operation_key:
            return
        self._attempts[request.operation_key] = 1
        if self._rng.random() < RACING_SHARE:
            for _ in range(self._rng.randint(1, MAX_RACING)):
                self._repeat(request)

    def on_ended(self, request: ClientRequest) -> None:
        """Decide whether an operation is sent again."""
        if not request.operation_key or self.is_over or not self._is_to_be_repeated(request):
            return
        delay_us = self._rng.randint(MIN_DELAY_US, MAX_DELAY_US)
        self._world.after(delay_us, self._repeat, request)

    def _is_to_be_repeated(self, request: ClientRequest) -> bool:
        if request.end is RequestEnd.ANSWERED and request.status in FINAL_STATUSES:
            return False
        if request.end is RequestEnd.ANSWERED and request.status == GOOD_STATUS:
            return self._rng.random() < REPEATED_SHARE
        return True

    def repeat_after_fault(self) -> None:
        """Send the newest operations again, each to two proxies."""
        newest = {request.operation_key: request for request in self._world.record.requests if request.operation_key}
        for request in list(newest.values())[-CLOSING_REPEATS:]:
            for ip in self._rng.sample(self._proxy_ips, 2):
                self._world.send_single(self._copy(request, ip))

    def _repeat(self, request: ClientRequest) -> None:
        attempts = self._attempts[request.operation_key]
        if attempts >= MAX_ATTEMPTS or self.is_over:
            return
        self._attempts[request.operation_key] = attempts + 1
        self._world.send_single(self._copy(request, self._rng.choice(self._proxy_ips)))

    def _copy(self, request: ClientRequest, ip: str) -> ClientRequest:
        """Return the same request as a new attempt that has not been sent."""
        return msgspec.structs.replace(
            request,
            attempt_id=self._world.next_attempt_id(),
            ip=ip,
            end=RequestEnd.PENDING,
            is_sent=True,
            ended_at=0,
            status=0,
            sealed_by="",
            is_sealed=False,
            is_intact=False,
            is_own=True,
        )
