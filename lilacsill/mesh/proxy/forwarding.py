"""Requests that begin on this machine: route, choice of a backend, offers, and the one final answer.

A request that was declined has arrived nowhere, and is offered to the next choice at no cost. One that may have run is
retried only where the route allows it and the budget has room; otherwise its client gets a failure that promises
nothing. No other place sends a client's request again; `docs/control-safety.md` lists what each retry rests on.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from lilacsill.address import Address
from lilacsill.balancing.mechanisms.majority import usual
from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.messages import BodyChunk, Headers, NoResponse, Offer, Rejected, Response
from lilacsill.mesh.runtime.reactor import Reactor

from .active_config import ActiveConfig
from .backend_connection import end_to_end_headers
from .backend_gateway import BackendGateway
from .backend_request import MAX_BUFFERED_BYTES
from .endpoint_table import EndpointLoad, EndpointTable
from .graceful_shutdown import GracefulShutdown
from .retry_budget import RetryBudget, RetryBudgetSettings
from .routes import Route
from .transports import Exchange, ExchangeLinks, LocalExchange

KEEP = 128 * 1024  # of a request's body
DECLINES_MOST = 6  # offers that are declined before a request is refused
OWN = frozenset((b"calling-service", b"meant-server", b"time-left-ms", b"expect"))
PATIENCE_US = 60_000_000  # of a client that does not tell
BACK_PART = 0.25  # of the aim: a refused client comes back after so long
LATE_US = 20_000  # a far proxy's word that time is up is given so long
LEAST_US = 2_000
ILL_ALL = 0.15  # share of outcomes that fail at the best backend of a service
TOOK_GAIN, TOOK_FEW = 0.02, 8


class Client(Protocol):
    """Where the answer goes; called once with `answer`, or with `begin`, then `piece` until the last."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None: ...

    def begin(self, status: int, headers: Headers, length: int, body: bytes, forwarding: Forwarding) -> int: ...

    def piece(self, data: bytes, last: bool) -> int: ...

    def cut(self) -> None:
        """The rest will never come."""


class Forwarder:
    """All requests that begin on this machine."""

    def __init__(
        self,
        reactor: Reactor,
        config: ActiveConfig,
        gateway: BackendGateway,
        node: str,
        service: str,
        budget: RetryBudgetSettings,
        rng: Random,
    ) -> None:
        self.reactor, self.config, self.gateway, self.rng = reactor, config, gateway, rng
        self.links = ExchangeLinks(reactor)
        self.node, self.caller = node, service.encode()
        self._budget_settings = budget
        self.tables: dict[str, EndpointTable] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self.proxies = 1
        self.sure: Callable[[], bool] = lambda: False
        self.in_hand: set[Forwarding] = set()
        self.shutdown: GracefulShutdown | None = None  # from SIGTERM on
        self._attempts = 0
        self.patience: dict[str, list[int]] = {}  # of each route's clients, for `usual`
        self._took: dict[str, tuple[float, int]] = {}  # by route: mean ms at a backend, answers that it is made of

    def table(self, service: str) -> EndpointTable:
        table = self.tables.get(service)
        if table is None:
            table = self.tables[service] = EndpointTable(self.rng)
        return table

    def budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._budget_settings)
        return budget

    def usual_ms(self, route: str) -> int:
        """What such a request takes at a backend, over the whole fleet; 0: too few were seen."""
        mean, count = self._took.get(route, (0.0, 0))
        return max(1, int(mean)) if count >= TOOK_FEW else 0

    def took(self, route: str, ms: int) -> None:
        mean, count = self._took.get(route, (0.0, 0))
        self._took[route] = mean + max(TOOK_GAIN, 1 / (count + 1)) * (ms - mean), count + 1

    def attempt(self) -> int:
        self._attempts += 1
        return self._attempts

    def arrived(self, request: HttpMessage, client: Client, whole: bool = True) -> Forwarding | None:
        """None: it has its answer. Not `whole`: more of its body comes."""
        host = request.fields.get(b"host", b"").lower()
        host = host.partition(b":")[0]
        target = request.target
        route = self.config.match(host, target.partition(b"?")[0])
        if route is None:
            # Only who knows the configuration as it stands may say that there is none.
            if self.sure():
                client.answer(404, [], b"no route\n")
            else:
                client.answer(503, [(b"Retry-After", b"0.2")], b"the configuration is not known\n")
            return None
        if self.shutdown is not None and not self._can_finish(self.shutdown, request, route):
            client.answer(503, [self.retry_after(route)], b"this proxy shuts down\n")
            return None
        forwarding = Forwarding(self, request, route, client, whole)
        self.in_hand.add(forwarding)
        forwarding.begin()
        return forwarding

    def _can_finish(self, shutdown: GracefulShutdown, request: HttpMessage, route: Route) -> bool:
        time_left_us = min(client_patience_us(request), route.timeout_us)
        usual_us = self.usual_ms(route.name) * 1000 or None
        return shutdown.can_finish(self.reactor.now(), time_left_us, route.target_us, usual_us)

    def retry_after(self, route: Route) -> tuple[bytes, bytes]:
        """The header that tells a refused client when to come back: a part of the route's target, with jitter."""
        back_s = BACK_PART * route.target_us / 1e6 * (0.75 + 0.5 * self.rng.random())
        return b"Retry-After", b"%.3f" % back_s


def client_patience_us(request: HttpMessage) -> int:
    """How long the client waits for its answer, by the request's `Time-Left-Ms`."""
    time_left = request.fields.get(b"time-left-ms", b"")
    return int(time_left) * 1000 if time_left.isdigit() and len(time_left) < 10 else PATIENCE_US


class Forwarding:
    """One request."""

    def __init__(self, forwarder: Forwarder, request: HttpMessage, route: Route, client: Client, whole: bool) -> None:
        self._forwarder, self._request, self._route, self._client = forwarder, request, route, client
        self._service = route.choose_service(forwarder.rng)
        self._table = forwarder.table(self._service)
        now = forwarder.reactor.now()
        patience_us = client_patience_us(request)
        self._began = now
        self._until = now + min(patience_us, route.timeout_us)
        # One that comes back has lost part of its time to the aim already: it has less left than is usual on its route.
        spent_us = usual(forwarder.patience.setdefault(route.name, [0, 0]), patience_us) - patience_us
        self._aim_at = now + route.target_us - max(0, spent_us)
        self._headers = [line for line in end_to_end_headers(request) if line[0].lower() not in OWN]
        self._headers.append((b"Calling-Service", forwarder.caller))
        self._body = request.take_body()  # what of it has come and is kept for another offer
        self._whole = whole
        self._kept = True  # all that has come
        self._arrivals = self._declines = 0
        self._tried: list[EndpointLoad] = []  # declined it, or promised that it had not run there
        self._failed: list[EndpointLoad] = []  # may have run it
        self._stand: EndpointLoad | None = None
        self._number = 0
        self._exchange: Exchange | None = None
        self._streaming = False
        self.over = False
        self._timer = forwarder.reactor.after(max(0, self._until - now) + LATE_US, self._late)

    def begin(self) -> None:
        self._forwarder.budget(self._service).record_request(self._forwarder.reactor.now())
        self._next()

    # Attempts

    def _next(self) -> None:
        forwarder = self._forwarder
        now = forwarder.reactor.now()
        if self._until - now < LEAST_US:
            return self._give_up()
        stand = None
        if self._declines < DECLINES_MOST and self._kept:
            # Where one that broke an earlier attempt is all there is, it is better than nobody.
            stand = self._table.choose(now, [*self._tried, *self._failed]) or self._table.choose(now, self._tried)
        if stand is None:
            return self._give_up()
        self._stand, self._number = stand, forwarder.attempt()
        self._table.attempt_started(stand, self._number)
        request, route = self._request, self._route
        length = request.length or 0
        if request.length is None and b"transfer-encoding" in request.fields:
            length = -1
        offer = Offer(
            stand.endpoint.server,
            self._service,
            route.name,
            request.method,
            request.target,
            self._headers,
            self._body,
            self._whole,
            length,
            (self._until - now) // 1000,
            (self._aim_at - now) // 1000,
            route.priority,
            route.is_idempotent,
            self._arrivals > 0,
            forwarder.usual_ms(route.name),
        )
        if stand.endpoint.node == forwarder.node:
            self._exchange = LocalExchange(forwarder.reactor, forwarder.gateway, offer, self)
        else:
            self._exchange = forwarder.links.to(Address(stand.endpoint.host, stand.endpoint.port), offer, self)

    def _attempt_over(self, told: Rejected | Response | NoResponse | None) -> EndpointLoad:
        stand, self._stand, self._exchange = self._stand, None, None
        assert stand is not None
        load = told.load if told is not None else None
        self._table.attempt_ended(stand, self._number, load, self._forwarder.reactor.now())
        return stand

    # Outcomes of exchanges

    def on_outcome(self, message: Rejected | Response | NoResponse | BodyChunk) -> None:
        """Of the exchange that is under way."""
        if self.over:
            return
        if isinstance(message, Rejected):
            stand = self._attempt_over(message)
            self._tried.append(stand)
            self._declines += 1
            if message.reason in ("life", "leaving", "unreachable"):
                self._table.eject(stand, self._forwarder.reactor.now())
            self._next()
        elif isinstance(message, Response):
            self._answered(message)
        elif isinstance(message, NoResponse):
            if self._streaming:
                return self._cut()
            self._failed.append(self._attempt_over(message))
            self._repeat()
        else:
            if self._client.piece(message.data, message.last) > MAX_BUFFERED_BYTES and self._exchange is not None:
                self._exchange.hold(True)
            if message.last:
                self._done()

    def on_unreachable(self) -> None:
        """No link could be opened: it was offered to nobody."""
        if self.over:
            return
        stand = self._attempt_over(None)
        self._table.eject(stand, self._forwarder.reactor.now())
        self._tried.append(stand)
        self._declines += 1
        self._next()

    def on_link_lost(self) -> None:
        """It was offered, and what became of it is not known."""
        if self.over:
            return
        if self._streaming:
            return self._cut()
        stand = self._attempt_over(None)
        self._table.eject(stand, self._forwarder.reactor.now())
        self._failed.append(stand)
        self._repeat()

    def more(self, data: bytes, last: bool) -> None:
        """Of the request's body. A long one is not kept, and is offered once."""
        self._whole = last
        if self._kept and len(self._body) + len(data) <= KEEP:
            self._body += data
        else:
            self._kept, self._body = False, b""
        if self._exchange is not None:
            self._exchange.piece(BodyChunk(data, last))

    @property
    def unsent(self) -> int:
        """Bytes of the body that have not gone on."""
        return self._exchange.unsent if self._exchange is not None else 0

    def client_relieved(self) -> None:
        """The client has taken what it was sent: the answer goes on."""
        if self._exchange is not None:
            self._exchange.hold(False)

    def _answered(self, m: Response) -> None:
        """The backend's answer, or the head of a long one. What is not passed on is abandoned whole."""
        exchange = self._exchange
        stand = self._attempt_over(m)
        again = False
        if m.not_run:
            # The backend's own promise: it goes elsewhere, though as an arrival it counts.
            self._tried.append(stand)
            self._arrivals += 1
            again = self._may_repeat()
        elif m.status >= 500 and self._route.is_idempotent:
            self._failed.append(stand)
            self._arrivals += 1
            # Where all of a service fails, what it calls does: a repeat would only ask that for more.
            again = self._table.lowest_failure_rate() < ILL_ALL and self._may_repeat()
        if (again or m.not_run) and not m.body_complete and exchange is not None:
            exchange.cancel()
        if again:
            return self._next()
        if m.not_run:
            return self._refuse()
        if m.body_complete:
            if m.status < 300:
                self._forwarder.took(self._route.name, m.duration_ms)
            return self._finish(m.status, m.headers, m.body)
        self._exchange, self._streaming = exchange, True
        if (
            self._client.begin(m.status, m.headers, m.content_length, m.body, self) > MAX_BUFFERED_BYTES
            and self._exchange is not None
        ):
            self._exchange.hold(True)

    def _repeat(self) -> None:
        """The attempt may have run: a read may be retried, a write may not."""
        self._arrivals += 1
        if self._route.is_idempotent and self._may_repeat():
            return self._next()
        if self._forwarder.reactor.now() >= self._until:
            return self._finish(504, [], b"no answer in time\n")
        self._finish(502, [], b"the backend gave no answer\n")

    def _may_repeat(self) -> bool:
        now = self._forwarder.reactor.now()
        return (
            self._arrivals < self._route.max_attempts
            and self._until - now > LEAST_US
            and self._kept
            and self._forwarder.budget(self._service).try_spend(now, self._forwarder.proxies)
        )

    # The end

    def _give_up(self) -> None:
        """No backend takes it now."""
        self._refuse()  # true of a write, too: all that it arrived at have promised that it did not run

    def _refuse(self) -> None:
        self._finish(503, [self._forwarder.retry_after(self._route)], b"refused\n")

    def _late(self) -> None:
        """Its time is up: the final answer goes out at once."""
        if self.over:
            return
        if self._streaming:
            return self._cut()
        exchange, self._exchange = self._exchange, None
        if self._stand is not None:
            self._table.attempt_ended(self._stand, self._number, None, self._forwarder.reactor.now())
            self._stand = None
        if exchange is not None:
            exchange.cancel()
        self._finish(504, [], b"no answer in time\n")

    def break_off(self) -> None:
        """The process ends. It may have run."""
        self._late()

    def _finish(self, status: int, headers: Headers, body: bytes) -> None:
        self._done()
        self._client.answer(status, headers, body)

    def _cut(self) -> None:
        """The answer has begun and ends early; its client must see that."""
        exchange, self._exchange = self._exchange, None
        self._done()
        if exchange is not None:
            exchange.cancel()
        self._client.cut()

    def _done(self) -> None:
        self.over = True
        self._timer.cancel()
        self._forwarder.in_hand.discard(self)

    def client_gone(self) -> None:
        """The client has closed the connection."""
        if self.over:
            return
        self._done()
        if self._stand is not None:
            self._table.attempt_ended(self._stand, self._number, None, self._forwarder.reactor.now())
        if self._exchange is not None:
            self._exchange.cancel()
