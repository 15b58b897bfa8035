"""The agent: passes events to the decision module and executes the actions that it returns."""

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

# The decision module ends a request at its deadline. If it does not, the agent itself responds with an error this much
# later, which is within the 50 ms that the protocol allows.
ANSWER_GRACE_US = 25_000


@dataclass(slots=True, eq=False)
class RequestInFlight:
    """A request that has not received its final response."""

    call: DownstreamRequest
    grace_timer: Timer
    attempts: int = 0


class Agent:
    """Passes events to the decision module one at a time, in order of arrival, and executes its actions.

    No other object calls the decision module.
    """

    def __init__(self, balancer: Balancer, clock: Clock, backends: Backends, discovery: Discovery) -> None:
        self._balancer, self._clock = balancer, clock
        self._backends, self._discovery = backends, discovery
        self._in_flight: dict[int, RequestInFlight] = {}
        self._exchanges: dict[tuple[int, int], Exchange] = {}  # unfinished attempts, by request and attempt number
        self._events: deque[balancing.Event] = deque()
        self._is_handling = False
        self._requests_accepted = 0
        self.observer: Observer | None = None
        self.backends_known = asyncio.Event()  # set after the first list from discovery
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

    def start(self, listing: Listing) -> None:
        """Start with the configured list of backends, and follow discovery."""
        if self.observer is not None:
            self.observer.backends_listed(listing)
        self._post(balancing.BackendsChanged(balancing.ListKind.CACHED, self._backends.apply(listing)))
        self._discovery.follow(self._on_listing)

    def tenant_changed(self, number: int, about: balancing.Tenant | None) -> None:
        """Add a tenant, change its quota, or remove it (None); its requests in flight continue."""
        self._post(balancing.TenantChanged(number, about))

    def fleet_changed(self, event: balancing.FleetChanged | balancing.PeerHealthChanged) -> None:
        """Pass a change of the fleet, or of the backend health that its agents report, to the decision module."""
        self._post(event)

    def refresh_backends(self) -> None:
        """Request the complete list now instead of waiting for a newer revision."""
        self._discovery.forget_revision()
        self._discovery.watch(self._on_listing)

    def set_discovery(self, address: Address) -> None:
        """Change the address of discovery."""
        self._discovery.set_address(address, self._on_listing)

    def knows_backend(self, backend: balancing.BackendId) -> bool:
        """Return whether the list contains a backend."""
        return self._backends.is_listed(backend)

    def set_maintenance(self, backend: balancing.BackendId, in_maintenance: bool) -> None:
        """Take a backend out of service or return it to service; this is in effect when the call returns."""
        self._backends.set_maintenance(backend, in_maintenance)
        self._post(balancing.MaintenanceChanged(backend, in_maintenance))

    def add_observer(self, observer: Observer) -> None:
        """Add an observer, which is notified of requests, attempts and lists of backends."""
        self.observer = observer if self.observer is None else CombinedObserver(self.observer, observer)

    def restore_latency_model(self, model: balancing.LatencyModelRestored) -> None:
        """Restore the latencies that a previous run of the agent measured; a model of 0 responses is ignored."""
        if model.answers:
            self._post(model)

    def latency_model(self) -> balancing.LatencyModelRestored:
        """Return the measured latencies, which the next run of the agent can restore."""
        return self._balancer.latency_model()

    def estimates(self) -> list[balancing.BackendEstimate]:
        """Return the current estimates of the decision module for the backends."""
        return self._balancer.estimates(self._clock.now())

    # Requests of clients (inbound.downstream.RequestHandler)

    def handle(self, call: DownstreamRequest) -> None:
        """Number a new request and pass it to the decision module."""
        self._requests_accepted += 1
        call.number = self._requests_accepted
        # The client's timeout starts when the last byte of the request has been received.
        timeout_us = call.body_timeout_us + call.timeout_us
        grace_timer = self._clock.after(timeout_us + ANSWER_GRACE_US, self._on_grace_expired, call.number)
        self._in_flight[call.number] = RequestInFlight(call, grace_timer)
        if self.observer is not None:
            self.observer.request_arrived(call)
        self._post(
            balancing.RequestArrived(
                call.number, call.request_class, timeout_us, call.tenant, call.key, call.cost_us, call.is_retry
            )
        )

    def client_gone(self, call: DownstreamRequest) -> None:
        """Cancel a request whose client has disconnected."""
        if self._finish_request(call.number) is not None:
            self._post(balancing.ClientDisconnected(call.number))

    def fail_all(self) -> None:
        """Respond to all requests in flight with an error."""
        for number in list(self._in_flight):
            self._fail_request(number)

    @property
    def requests_in_flight(self) -> int:
        """The number of requests that have not received their final response."""
        return len(self._in_flight)

    def _on_grace_expired(self, number: int) -> None:
        log.error("request %d: the decision module did not end it by its deadline; responding with status 500", number)
        self._fail_request(number)

    def _fail_request(self, number: int) -> None:
        """Respond with status 500 to a request, if it is in flight, in place of the decision module.

        An error is a valid response whatever the result of the attempts.
        """
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
        """Remove a request and cancel its attempts, whose connections close before the response is sent."""
        in_flight = self._in_flight.pop(number, None)
        if in_flight is not None:
            in_flight.grace_timer.cancel()
            for attempt in range(in_flight.attempts):
                if (number, attempt) in self._exchanges:
                    self._exchanges[number, attempt].cancel()
        return in_flight

    # Events for the decision module

    def _post(self, event: balancing.Event) -> None:
        """Pass an event to the decision module.

        While another event is handled, the event is queued: executing an action may post an event at once, and the
        decision module is not re-entrant.
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
            # Respond to the request of the event, if it has one, and continue with the others.
            log.exception("the decision module raised an exception for event %s", type(event).__name__)
            self._fail_request(getattr(event, "request", 0))
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("failed to execute action %s", type(action).__name__)
                self._fail_request(getattr(action, "request", 0))

    # Actions of the decision module

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
        """Start to stream the response of this attempt, and cancel the other attempts and the deadline."""
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
