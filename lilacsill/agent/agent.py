"""The agent: the only caller of the decision module, which carries out what it decides."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from lilacsill.address import Address
from lilacsill.balancing import interface as q
from lilacsill.balancing.logic import Balancer
from lilacsill.clock import Clock
from lilacsill.http1.message import Headers, Message
from lilacsill.timers import Timer

from .discovery.listing import Listing
from .discovery.watch import Discovery
from .inbound.validation import DownstreamRequest
from .observers import Both, Observer
from .outbound.attempts import Backends, Exchange
from .outbound.terms import Result, UpstreamRequest
from .watermarks import Sink

log = logging.getLogger(__name__)

# The module answers when a request's time is up; were it to fail, the agent answers this much later, within
# the 50 ms that the protocol allows.
OVERDUE_US = 25_000


@dataclass(slots=True, eq=False)
class InFlight:
    """A request without its final answer."""

    call: DownstreamRequest
    overdue: Timer
    attempts: int = 0


class Agent:
    """Hands events to the module one at a time, in order of arrival, and carries out its actions."""

    def __init__(self, balancer: Balancer, clock: Clock, backends: Backends, discovery: Discovery) -> None:
        self._balancer, self._clock = balancer, clock
        self._backends, self._discovery = backends, discovery
        self._in_flight: dict[int, InFlight] = {}
        self._out: dict[tuple[int, int], Exchange] = {}  # attempts without an end
        self._events: deque[q.Event] = deque()
        self._handling = False
        self._accepted = 0
        self.observer: Observer | None = None
        self.listed = asyncio.Event()  # discovery has told of the backends
        self._carriers: dict[type, Callable[[Any], None]] = {
            q.Send: self._send,
            q.Reject: self._refuse,
            q.Fail: self._fail,
            q.Cancel: self._cancel,
            q.SetTimer: self._set_timer,
            q.Probe: self._probe,
            q.Watch: self._watch,
            q.Fetch: self._fetch,
            q.Log: self._log,
        }

    def start(self, known: Listing) -> None:
        if self.observer is not None:
            self.observer.listed(known)
        self._post(q.BackendsChanged(q.ListKind.CACHED, self._backends.apply(known)))
        self._discovery.follow(self._listed)

    def tenant_changed(self, number: int, about: q.Tenant | None) -> None:
        """A tenant came, has another quota or is gone; what is in hand for it goes on."""
        self._post(q.TenantChanged(number, about))

    def fleet_changed(self, event: q.FleetChanged | q.PeerHealthChanged) -> None:
        """What other agents have told has come to this."""
        self._post(event)

    def learn(self) -> None:
        """Ask for the whole list now: a watch would wait for something newer, and others wait for this agent."""
        self._discovery.forget()
        self._discovery.watch(self._listed)

    def move(self, discovery: Address) -> None:
        """Learn of backends there from now on."""
        self._discovery.move(discovery, self._listed)

    def knows(self, backend: q.BackendId) -> bool:
        """Whether a list has named it."""
        return self._backends.knows(backend)

    def maintain(self, backend: q.BackendId, out: bool) -> None:
        """An operator takes a backend out, or lets it serve again; in force on return."""
        self._backends.maintain(backend, out)
        self._post(q.MaintenanceChanged(backend, out))

    def observe(self, observer: Observer) -> None:
        """One more that hears what this agent sees."""
        self.observer = observer if self.observer is None else Both(self.observer, observer)

    def remember(self, pace: q.LatencyModelRestored) -> None:
        """What answers took in an earlier life; 0 answers: nothing is known of that."""
        if pace.answers:
            self._post(pace)

    def pace(self) -> q.LatencyModelRestored:
        """What answers take, for a later life."""
        return self._balancer.latency_model()

    def beliefs(self) -> list[q.BackendEstimate]:
        """What the module holds true of the backends now."""
        return self._balancer.estimates(self._clock.now())

    # The application's side

    def handle(self, call: DownstreamRequest) -> None:
        self._accepted += 1
        call.number = self._accepted
        # The client's time counts from its last byte.
        patience_us = call.rest_us + call.patience_us
        overdue = self._clock.after(patience_us + OVERDUE_US, self._overdue, call.number)
        self._in_flight[call.number] = InFlight(call, overdue)
        if self.observer is not None:
            self.observer.arrived(call)
        self._post(
            q.RequestArrived(
                call.number, call.request_class, patience_us, call.tenant, call.key, call.cost_us, call.is_retry
            )
        )

    def client_gone(self, call: DownstreamRequest) -> None:
        if self._over(call.number) is not None:
            self._post(q.ClientDisconnected(call.number))

    def fail_all(self) -> None:
        for number in list(self._in_flight):
            self._give_up(number)

    @property
    def in_hand(self) -> int:
        """Requests without their final answer."""
        return len(self._in_flight)

    def _overdue(self, number: int) -> None:
        log.error("request %d: no answer from the module in time", number)
        self._give_up(number)

    def _give_up(self, number: int) -> None:
        """The final answer where the module gave none. A failure is always true."""
        if number in self._in_flight:
            self._answer(number, 500, [], b"failed\n")
            self._post(q.ClientDisconnected(number))

    def _answer(self, number: int, status: int, headers: Headers, body: bytes) -> None:
        in_flight = self._over(number)
        if in_flight is not None:
            if self.observer is not None:
                self.observer.answered(number, status)
            in_flight.call.respond(in_flight.call, status, headers, body)

    def _over(self, number: int) -> InFlight | None:
        """Nothing more goes out for this request: what is still out is closed before its answer is given."""
        in_flight = self._in_flight.pop(number, None)
        if in_flight is not None:
            in_flight.overdue.cancel()
            for attempt in range(in_flight.attempts):
                if (number, attempt) in self._out:
                    self._out[number, attempt].cancel()
        return in_flight

    # Events in

    def _post(self, event: q.Event) -> None:
        """Queued while another is handled: an action may end at once, and handle must not be re-entered."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._dispatch(self._events.popleft())
        finally:
            self._handling = False

    def _dispatch(self, event: q.Event) -> None:
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception:
            # The request that the module stumbled on is still owed its answer, and others are to go on.
            log.exception("the module failed on %s", type(event).__name__)
            number = getattr(event, "request", 0)
            self._give_up(number)
            return
        for action in actions:
            try:
                self._carriers[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                self._give_up(getattr(action, "request", 0))

    # Actions out

    def _send(self, a: q.Send) -> None:
        in_flight = self._in_flight.get(a.request)
        if in_flight is None:
            return
        number, attempt = a.request, in_flight.attempts
        in_flight.attempts += 1
        call = in_flight.call
        ask = UpstreamRequest(call.method, call.target, call.headers, call.body, send_timeout=True, known=call.known)
        ask.sending = partial(self._sending, number, attempt)
        if call.upload is not None:
            ask.upload, ask.patience_us = call.upload, call.patience_us

        def done(result: Result) -> None:
            self._out.pop((number, attempt), None)
            self._attempt_ended(number, attempt, a.backend, result)

        def begin(answer: Message) -> Sink | None:
            return self._begin(number, attempt, answer)

        exchange = self._backends.exchange(a.backend, ask, a.timeout_us, done, begin)
        if not exchange.ended:
            self._out[number, attempt] = exchange

    def _sending(self, number: int, attempt: int, written: bool) -> None:
        self._post(q.UploadChanged(number, attempt, written))

    def _begin(self, number: int, attempt: int, answer: Message) -> Sink | None:
        """The answer of this attempt is the client's from now on; no other one, and no deadline, can take its place."""
        in_flight = self._in_flight.get(number)
        if in_flight is None or in_flight.call.begin is None:
            return None
        del self._out[number, attempt]
        self._over(number)
        if self.observer is not None:
            self.observer.answered(number, 200)
        kind = answer.header(b"content-type")
        sink = in_flight.call.begin(in_flight.call, [("Content-Type", kind)] if kind else [], answer.length)
        self._post(q.StreamStarted(number, attempt))
        return sink

    def _attempt_ended(self, number: int, attempt: int, backend: q.BackendId, result: Result) -> None:
        if self.observer is not None:
            self.observer.attempt_ended(number, attempt, backend, result.outcome, result.latency_us, result.report)
        if result.outcome is q.Outcome.OK and not result.streamed:
            kind = [("Content-Type", result.content_type)] if result.content_type else []
            self._answer(number, 200, kind, result.body)
        self._post(
            q.AttemptEnded(
                number,
                attempt,
                backend,
                result.outcome,
                result.latency_us,
                number not in self._in_flight,
                result.report,
            )
        )

    def _refuse(self, a: q.Reject) -> None:
        advice = [("Retry-After", f"{a.retry_after_us / 1e6:.6f}")] if a.retry_after_us else []
        self._answer(a.request, 503, advice, b"refused\n")

    def _fail(self, a: q.Fail) -> None:
        self._answer(a.request, 502, [], b"failed\n")

    def _cancel(self, a: q.Cancel) -> None:
        exchange = self._out.get((a.request, a.attempt))
        if exchange is not None:
            exchange.cancel()

    def _set_timer(self, a: q.SetTimer) -> None:
        self._clock.after(a.delay_us, self._post, q.TimerFired(a.token))

    def _probe(self, a: q.Probe) -> None:
        def done(result: Result) -> None:
            self._post(q.ProbeEnded(a.backend, result.outcome, result.latency_us, result.report))

        self._backends.probe(a.backend, done)

    def _watch(self, a: q.Watch) -> None:
        self._discovery.watch(self._listed)

    def _fetch(self, a: q.Fetch) -> None:
        self._discovery.fetch(self._listed)

    def _listed(self, listing: Listing | None) -> None:
        if listing is None:
            self._post(q.BackendsChanged(q.ListKind.FAILED, []))
            return
        if self.observer is not None:
            self.observer.listed(listing)
        self.listed.set()
        kind = q.ListKind.FULL if listing.complete else q.ListKind.DELTA
        self._post(q.BackendsChanged(kind, self._backends.apply(listing)))

    def _log(self, a: q.Log) -> None:
        log.info("%s", a.text)
