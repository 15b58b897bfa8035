"""Clients beside the proxies: each keeps a key until it is rejected, and operations are sent several times."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lilacsill.mesh.proxy.request_permits import LocalResponse
from lilacsill.mesh.simulation.network import MS, SECOND, Time
from lilacsill.mesh.soak.client import (
    AFTER_DEADLINE_US,
    FORGED_SHARE,
    KEY_CHANGE_SHARE,
    UNAUTHORIZED,
    UNKNOWN_KEY_SHARE,
)
from lilacsill.mesh.soak.customers import NO_KEY, ClientKey, Customers
from lilacsill.mesh.soak.observations import ClientRequest, Record, RequestEnd
from lilacsill.mesh.soak.repeats import OperationRepeater
from lilacsill.mesh.soak.workload import US_PER_MS, RouteWork, Workload, response_body, sealed_attempt

from .exchange import Exchange
from .proxy_host import ProxyHost

PAUSE_US = 350 * MS  # mean between two requests of a client
LEAVING_SHARE = 0.03  # of the requests, whose clients leave early
HOT_FACTOR, HOT_US = 7.5, 6 * SECOND  # a hot tenant sends so many times its rate, for longer than a window
HOT_BURST = 4  # of its requests come to one proxy at once, so that they share a question


class VirtualClients:
    """All clients of one soak; the `RepeatWorld` of its repeats."""

    def __init__(
        self, time: Time, record: Record, workload: Workload, customers: Customers, hosts: list[ProxyHost], rng: Random
    ) -> None:
        self._time, self.record, self._workload = time, record, workload
        self._customers, self._hosts, self._rng = customers, hosts, rng
        self._attempts = 0
        self.is_over = False
        self.repeater = OperationRepeater(self, [host.ip for host in hosts], Random(rng.random()))

    def start(self, count: int) -> None:
        """Let so many clients begin."""
        for number in range(count):
            client = VirtualClient(self, self._hosts[number % len(self._hosts)], self._customers.draw_key())
            self.after(int(self._rng.uniform(0, PAUSE_US)), client.send)

    def end(self) -> None:
        """Send nothing more, but for `OperationRepeater.repeat_after_fault`."""
        self.is_over = self.repeater.is_over = True

    def after(self, delay_us: int, call: Callable[..., None], *arguments: object) -> None:
        """Call something later."""
        self._time.after(delay_us, call, *arguments)

    def next_attempt_id(self) -> str:
        """Return an id that no other request has."""
        self._attempts += 1
        return f"v-{self._attempts}"

    # Requests

    def draw_request(self, host: ProxyHost, key: ClientKey) -> ClientRequest:
        """Return a new request, with all that a shared deployment asks for."""
        rng, now = self._rng, self._time.now
        route = rng.choice(self._workload.routes)
        request = ClientRequest(self.next_attempt_id(), host.ip, route.name, route.idempotent, now, now)
        if rng.random() < FORGED_SHARE:
            request.forged_customer = rng.choice(self._customers.tenants).name
        if not route.is_public:
            used = self._customers.unknown_key() if rng.random() < UNKNOWN_KEY_SHARE else key
            request.tenant, request.credential = used.tenant, used.credential
        if route.is_keyed:
            request.operation_key = f"k-{request.attempt_id}"
        return request

    def send_single(self, request: ClientRequest) -> None:
        """Send a request that nobody waits for but the record."""
        self.send(request, lambda _request: None)

    def send(self, request: ClientRequest, ended: Callable[[ClientRequest], None]) -> None:
        """Send a request; it is recorded unless its proxy does not listen. `ended` is called once in any case."""
        host = next(host for host in self._hosts if host.ip == request.ip)
        route = self._workload.route(request.route)
        if not host.is_up:
            ended(request)
            return
        request.begun_at = request.sent_at = self._time.now
        request.deadline_at = request.sent_at + min(route.patience_ms, route.timeout_ms) * US_PER_MS
        self.record.requests.append(request)
        ClientCall(self._time, host, request, route, lambda: self._on_ended(request, ended)).start(
            self._rng.randrange(route.patience_ms * US_PER_MS) if self._rng.random() < LEAVING_SHARE else None
        )
        if request.operation_key.endswith(request.attempt_id):
            self.repeater.on_sent(request)

    def _on_ended(self, request: ClientRequest, ended: Callable[[ClientRequest], None]) -> None:
        self.repeater.on_ended(request)
        ended(request)

    def key_after(self, request: ClientRequest, key: ClientKey) -> ClientKey:
        """Return the key that a client uses after a response."""
        if request.status != UNAUTHORIZED or self._rng.random() >= KEY_CHANGE_SHARE:
            return key
        return self._customers.key_of(key.tenant) if key.tenant else self._customers.draw_key()

    def next_pause_us(self) -> int:
        """Return how long a client rests."""
        return int(self._rng.expovariate(1 / PAUSE_US))

    # Hot tenants

    def start_hot_tenant(self, number: int) -> str:
        """Let a tenant send many times its rate, through all proxies. Return its name."""
        tenant = self._customers.hot_tenant(number)
        key = self._customers.key_of(tenant.name)
        if key is not NO_KEY:
            gap_us = int(HOT_BURST * SECOND / (HOT_FACTOR * tenant.rate_per_s))
            self._send_hot(key, gap_us, self._time.now + HOT_US)
        return tenant.name

    def _send_hot(self, key: ClientKey, gap_us: int, ends_at: int) -> None:
        now = self._time.now
        if self.is_over or now >= ends_at:
            return
        reads = [route for route in self._workload.routes if route.idempotent and not route.is_public]
        host, route = self._rng.choice(self._hosts), self._rng.choice(reads)
        for _ in range(HOT_BURST):
            request = ClientRequest(self.next_attempt_id(), host.ip, route.name, True, now, now)
            request.tenant, request.credential = key.tenant, key.credential
            self.send_single(request)
        self.after(gap_us, self._send_hot, key, gap_us, ends_at)


class VirtualClient:
    """One client: a request, its end, a pause, the next request."""

    def __init__(self, clients: VirtualClients, host: ProxyHost, key: ClientKey) -> None:
        self._clients, self._host, self._key = clients, host, key

    def send(self) -> None:
        """Send the next request."""
        if not self._clients.is_over:
            self._clients.send(self._clients.draw_request(self._host, self._key), self._on_ended)

    def _on_ended(self, request: ClientRequest) -> None:
        self._key = self._clients.key_after(request, self._key)
        self._clients.after(self._clients.next_pause_us(), self.send)


class ClientCall:
    """One request on a connection of its own."""

    def __init__(
        self, time: Time, host: ProxyHost, request: ClientRequest, route: RouteWork, ended: Callable[[], None]
    ) -> None:
        self._time, self._host, self._request, self._route = time, host, request, route
        self._ended = ended
        self._exchange: Exchange | None = None

    def start(self, leaves_after_us: int | None) -> None:
        """Send it; the client may leave before its response."""
        self._host.open(self._on_closed, self._accept)
        self._time.at(self._request.deadline_at + AFTER_DEADLINE_US, self._leave)
        if leaves_after_us is not None:
            self._time.after(leaves_after_us, self._leave)

    def _accept(self) -> None:
        """Take the request, at the proxy, unless its client has left."""
        if self._request.end is RequestEnd.PENDING:
            self._exchange = self._host.exchange(self._request, self._route, self._on_response)
            self._exchange.start()

    def _on_response(self, response: LocalResponse) -> None:
        request = self._request
        if request.end is not RequestEnd.PENDING:
            return
        fields = {name.lower(): value.decode() for name, value in response.headers}
        request.status = response.status
        request.sealed_by = sealed_attempt(fields.get(b"server-seal"))
        request.is_sealed = request.sealed_by == request.attempt_id
        body_of = request.sealed_by or request.attempt_id
        request.is_intact = response.body == response_body(body_of, self._route.body_bytes)
        request.is_own = fields.get(b"attempt-id") in (None, request.attempt_id)
        self._end(RequestEnd.ANSWERED)

    def _on_closed(self) -> None:
        if self._request.end is RequestEnd.PENDING:
            self._end(RequestEnd.CLOSED)

    def _leave(self) -> None:
        if self._request.end is not RequestEnd.PENDING:
            return
        if self._exchange is not None:
            self._host.run(self._exchange.cancel)
        self._end(RequestEnd.GIVEN_UP)

    def _end(self, end: RequestEnd) -> None:
        self._request.end, self._request.ended_at = end, self._time.now
        self._ended()
