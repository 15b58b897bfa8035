"""The agent: the only caller of the decision module, whose actions it carries out."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from lilacsill.address import Address
from lilacsill.balancing import interface as balancing
from lilacsill.balancing.logic import Balancer
from lilacsill.clock import Clock
from lilacsill.http1.message import Headers, Message
from lilacsill.timers import Timer

from .discovery.listing import Listing
from .discovery.watch import Discovery
from .inbound.validation import DownstreamRequest
from .observers import CombinedObserver, Observer
from .outbound.backends import Backends
from .outbound.exchange import Exchange
from .outbound.requests import Result, UpstreamRequest
from .streaming import ResponseSink

log = logging.getLogger(__name__)

# The module answers when the time of a request is up. If it fails to, the agent answers this much later, within the
# 50 ms that the protocol allows.
OVERDUE_US = 25_000


@dataclass(slots=True, eq=False)
class RequestInFlight:
    """A request without its final answer."""

    call: DownstreamRequest
    overdue_timer: Timer
    attempts: int = 0


class Agent:
    """Passes events to the decision module one at a time, in order of arrival, and carries out its actions."""

    def __init__(self, balancer: Balancer, clock: Clock, backends: Backends, discovery: Discovery) -> None:
        self._balancer, self._clock = balancer, clock
        self._backends, self._discovery = backends, discovery
        self._in_flight: dict[int, RequestInFlight] = {}
        self._exchanges: dict[tuple[int, int], Exchange] = {}  # attempts that have not ended, by request and attempt
        self._events: deque[balancing.Event] = deque()
        self._is_handling = False
        self._requests_accepted = 0
        self.observer: Observer | None = None
        self.backends_known = asyncio.Event()  # set once discovery has answered
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            balancing.Send: self._send,
            balancing.Reject: self._reject,
            balancing.Fail: self._fail,
            balancing.Cancel: self._cancel,
            balancing.SetTimer: self._set_timer,
            balancing.Probe: self._probe,
            balancing.Watch: self._watch,
            balancing.Fetch: self._fetch,
            balancing.Log: self._log,
        }

    def start(self, known: Listing) -> None:
        """Start with the list of backends of the configuration."""
        if self.observer is not None:
            self.observer.backends_listed(known)
        self._post(balancing.BackendsChanged(balancing.ListKind.CACHED, self._backends.apply(known)))
        self._discovery.follow(self._on_listing)

    def tenant_changed(self, number: int, about: balancing.Tenant | None) -> None:
        """Note that a tenant is new, has another quota or is gone (None); its requests in flight go on."""
        self._post(balancing.TenantChanged(number, about))

    def fleet_changed(self, event: balancing.FleetChanged | balancing.PeerHealthChanged) -> None:
        """Pass on what other agents have reported."""
        self._post(event)

    def refresh_backends(self) -> None:
        """Ask for the complete list now; a watch would wait for a newer revision."""
        self._discovery.forget_revision()
        self._discovery.watch(self._on_listing)

    def set_discovery(self, address: Address) -> None:
        """Ask discovery at another address from now on."""
        self._discovery.set_address(address, self._on_listing)

    def knows_backend(self, backend: balancing.BackendId) -> bool:
        """Return whether the list names a backend."""
        return self._backends.is_listed(backend)

    def set_maintenance(self, backend: balancing.BackendId, in_maintenance: bool) -> None:
        """Take a backend out for an operator, or let it serve again; in force on return."""
        self._backends.set_maintenance(backend, in_maintenance)
        self._post(balancing.MaintenanceChanged(backend, in_maintenance))

    def add_observer(self, observer: Observer) -> None:
        """Report to one more observer what this agent sees."""
        self.observer = observer if self.observer is None else CombinedObserver(self.observer, observer)

    def restore_latency_model(self, model: balancing.LatencyModelRestored) -> None:
        """Restore the latencies that an earlier incarnation measured; a model of 0 answers is ignored."""
        if model.answers:
            self._post(model)

    def latency_model(self) -> balancing.LatencyModelRestored:
        """Return the measured latencies, for a later incarnation."""
        return self._balancer.latency_model()

    def estimates(self) -> list[balancing.BackendEstimate]:
        """Return what the decision module estimates of the backends now."""
        return self._balancer.estimates(self._clock.now())

    # Requests of the application (inbound.downstream.RequestHandler)

    def handle(self, call: DownstreamRequest) -> None:
        """Take over a request."""
        self._requests_accepted += 1
        call.number = self._requests_accepted
        # The client's time-out counts from its last byte.
        timeout_us = call.body_timeout_us + call.timeout_us
        overdue_timer = self._clock.after(timeout_us + OVERDUE_US, self._on_overdue, call.number)
        self._in_flight[call.number] = RequestInFlight(call, overdue_timer)
        if self.observer is not None:
            self.observer.request_arrived(call)
        self._post(
            balancing.RequestArrived(
                call.number, call.request_class, timeout_us, call.tenant, call.key, call.cost_us, call.is_retry
            )
        )

    def client_gone(self, call: DownstreamRequest) -> None:
        """Give up a request whose client has gone."""
        if self._finish_request(call.number) is not None:
            self._post(balancing.ClientDisconnected(call.number))

    def fail_all(self) -> None:
        """Answer all requests in flight with an error."""
        for number in list(self._in_flight):
            self._give_up(number)

    @property
    def requests_in_flight(self) -> int:
        """The number of requests without their final answer."""
        return len(self._in_flight)

    def _on_overdue(self, number: int) -> None:
        log.error("request %d: no answer from the module in time", number)
        self._give_up(number)

    def _give_up(self, number: int) -> None:
        """Answer a request that the module gave no answer; an error is always true."""
        if number in self._in_flight:
            self._answer(number, 500, [], b"failed\n")
            self._post(balancing.ClientDisconnected(number))

    def _answer(self, number: int, status: int, headers: Headers, body: bytes) -> None:
        in_flight = self._finish_request(number)
        if in_flight is not None:
            if self.observer is not None:
                self.observer.request_answered(number, status)
            in_flight.call.respond(in_flight.call, status, headers, body)

    def _finish_request(self, number: int) -> RequestInFlight | None:
        """Forget a request and cancel its attempts; the connections are closed before the answer is sent."""
        in_flight = self._in_flight.pop(number, None)
        if in_flight is not None:
            in_flight.overdue_timer.cancel()
            for attempt in range(in_flight.attempts):
                if (number, attempt) in self._exchanges:
                    self._exchanges[number, attempt].cancel()
        return in_flight

    # Events for the module

    def _post(self, event: balancing.Event) -> None:
        """Pass an event to the module.

        It is queued while another is handled: an action may end at once, and the module must not be re-entered.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._dispatch(self._events.popleft())
        finally:
            self._is_handling = False

    def _dispatch(self, event: balancing.Event) -> None:
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception:
            # The request that the module failed on still gets an answer, and the others go on.
            log.exception("the module failed on %s", type(event).__name__)
            self._give_up(getattr(event, "request", 0))
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                self._give_up(getattr(action, "request", 0))

    # Actions of the module

    def _send(self, action: balancing.Send) -> None:
        in_flight = self._in_flight.get(action.request)
        if in_flight is None:
            return
        number, attempt = action.request, in_flight.attempts
        in_flight.attempts += 1
        call = in_flight.call
        request = UpstreamRequest(
            call.method, call.target, call.headers, call.body, send_timeout=True, known_client=call.known_client
        )
        request.on_sending = partial(self._on_sending, number, attempt)
        if call.upload is not None:
            request.upload, request.upload_timeout_us = call.upload, call.timeout_us

        def on_done(result: Result) -> None:
            self._exchanges.pop((number, attempt), None)
            self._on_attempt_ended(number, attempt, action.backend, result)

        def begin_response(response: Message) -> ResponseSink | None:
            return self._begin_response(number, attempt, response)

        exchange = self._backends.exchange(action.backend, request, action.timeout_us, on_done, begin_response)
        if not exchange.ended:
            self._exchanges[number, attempt] = exchange

    def _on_sending(self, number: int, attempt: int, is_written: bool) -> None:
        self._post(balancing.UploadChanged(number, attempt, is_written))

    def _begin_response(self, number: int, attempt: int, response: Message) -> ResponseSink | None:
        """Stream the response of this attempt; no other attempt, and no deadline, can take its place from now on."""
        in_flight = self._in_flight.get(number)
        if in_flight is None or in_flight.call.begin_response is None:
            return None
        del self._exchanges[number, attempt]
        self._finish_request(number)
        if self.observer is not None:
            self.observer.request_answered(number, 200)
        content_type = response.header(b"content-type")
        headers = [("Content-Type", content_type)] if content_type else []
        sink = in_flight.call.begin_response(in_flight.call, headers, response.length)
        self._post(balancing.StreamStarted(number, attempt))
        return sink

    def _on_attempt_ended(self, number: int, attempt: int, backend: balancing.BackendId, result: Result) -> None:
        if self.observer is not None:
            self.observer.attempt_ended(number, attempt, backend, result.outcome, result.latency_us, result.report)
        if result.outcome is balancing.Outcome.OK and not result.streamed:
            headers = [("Content-Type", result.content_type)] if result.content_type else []
            self._answer(number, 200, headers, result.body)
        self._post(
            balancing.AttemptEnded(
                number,
                attempt,
                backend,
                result.outcome,
                result.latency_us,
                number not in self._in_flight,
                result.report,
            )
        )

    def _reject(self, action: balancing.Reject) -> None:
        advice = [("Retry-After", f"{action.retry_after_us / 1e6:.6f}")] if action.retry_after_us else []
        self._answer(action.request, 503, advice, b"refused\n")

    def _fail(self, action: balancing.Fail) -> None:
        self._answer(action.request, 502, [], b"failed\n")

    def _cancel(self, action: balancing.Cancel) -> None:
        exchange = self._exchanges.get((action.request, action.attempt))
        if exchange is not None:
            exchange.cancel()

    def _set_timer(self, action: balancing.SetTimer) -> None:
        self._clock.after(action.delay_us, self._post, balancing.TimerFired(action.token))

    def _probe(self, action: balancing.Probe) -> None:
        def on_done(result: Result) -> None:
            self._post(balancing.ProbeEnded(action.backend, result.outcome, result.latency_us, result.report))

        self._backends.probe(action.backend, on_done)

    def _watch(self, action: balancing.Watch) -> None:
        self._discovery.watch(self._on_listing)

    def _fetch(self, action: balancing.Fetch) -> None:
        self._discovery.fetch(self._on_listing)

    def _on_listing(self, listing: Listing | None) -> None:
        if listing is None:
            self._post(balancing.BackendsChanged(balancing.ListKind.FAILED, []))
            return
        if self.observer is not None:
            self.observer.backends_listed(listing)
        self.backends_known.set()
        kind = balancing.ListKind.FULL if listing.complete else balancing.ListKind.DELTA
        self._post(balancing.BackendsChanged(kind, self._backends.apply(listing)))

    def _log(self, action: balancing.Log) -> None:
        log.info("%s", action.text)
