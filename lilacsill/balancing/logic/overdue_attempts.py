"""Overdue attempts: hedges slow attempts, and cancels attempts whose response is lost."""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from ..interface import Cancel
from .concurrency_window import ConcurrencyWindow
from .load_probing import LoadProber
from .records import BackendRecord, RequestRecord
from .retry_budget import RetryBudget
from .sampling import Sampler

OVERDUE_LATENCIES = 2.0  # typical latencies after which an attempt in flight is overdue
HEDGE_LATENCIES = 3  # typical latencies after which an attempt is hedged
MAX_CHECKED_REQUESTS = 16  # number of the oldest requests that each heartbeat checks
LOAD_TOLERANCE = 0.5  # a reported load deviates from the requests in flight by less than this
MAX_DELIVERY_US = 5_000  # an attempt sent less than this before a probe may arrive at the backend after it


class AttemptSender(Protocol):
    """Interface to the open requests and their attempts, which also starts hedged attempts."""

    requests: dict[int, RequestRecord]  # open requests by number, oldest first
    window: ConcurrencyWindow
    retry_budget: RetryBudget

    def send(self, request: RequestRecord, backend: BackendRecord, load: float) -> None:
        """Start an attempt; `load` is the estimated load of the backend, including this attempt."""


class OverdueMonitor:
    """Checks the attempts in flight at each heartbeat while there are any."""

    def __init__(self, sampler: Sampler, prober: LoadProber, attempts: AttemptSender) -> None:
        self._context, self._table = sampler.context, sampler.table
        self._sampler, self._prober, self._attempts = sampler, prober, attempts
        self._is_running = False

    def start(self) -> None:
        """Check the attempts in flight now and at each heartbeat, until there are none."""
        if not self._is_running:
            self._context.repeat_while(self._check)

    def schedule_hedge(self, request: RequestRecord, attempt: int) -> None:
        """Schedule a hedged attempt for the time when an attempt becomes unusually slow."""
        typical_us = self._table.typical_latency_us
        if not request.is_repeatable or not typical_us or not self._context.settings.can_hedge:
            return
        due_at = self._context.now + int(HEDGE_LATENCIES * typical_us)
        if due_at + typical_us < request.target_at:
            self._context.call_at(due_at, self._hedge, request, attempt)

    def cancel_lost(self, backend: BackendRecord, load: float, requested_at: int) -> None:
        """Cancel the oldest attempt at a backend, if overdue, when the reported load is below the attempts in flight.

        In this case the backend has ended an attempt whose response did not reach this balancer. A cancel wastes no
        work, and a repeatable request is retried on another backend.

        Args:
            backend: Backend of the report.
            load: Reported load of the backend.
            requested_at: Clock time at which the report was requested, microseconds.
        """
        if load > len(backend.in_flight) - LOAD_TOLERANCE or not backend.in_flight:
            return
        if requested_at < backend.sent_at + MAX_DELIVERY_US:
            return
        (number, attempt), sent_at = next(iter(backend.in_flight.items()))
        request = self._attempts.requests.get(number)
        if request is not None and self._is_overdue(request, sent_at):
            self._context.actions.append(Cancel(number, attempt))

    def _check(self) -> bool:
        """Probe the backends of overdue attempts to distinguish slow responses from lost ones."""
        self._is_running = self._attempts.window.in_flight > 0
        for request in islice(self._attempts.requests.values(), MAX_CHECKED_REQUESTS):
            for attempt in request.in_flight.values():
                if self._is_overdue(request, attempt.sent_at):
                    self._prober.probe_if_stale(attempt.backend)
        return self._is_running

    def _is_overdue(self, request: RequestRecord, sent_at: int) -> bool:
        """Return whether an attempt is overdue while another attempt could still meet the target."""
        if request.is_answered or not request.is_repeatable or not self._context.settings.can_cancel:
            return False
        typical_us, now = self._table.typical_latency_us, self._context.now
        return now - sent_at > OVERDUE_LATENCIES * typical_us > 0 and now + typical_us < request.target_at

    def _hedge(self, request: RequestRecord, attempt: int) -> None:
        """Start a second attempt on another backend, if the conditions for a hedge still hold."""
        if request.is_answered or attempt not in request.in_flight or len(request.in_flight) > 1:
            return
        if self._attempts.retry_budget.is_empty():
            return
        candidates = self._sampler.eligibility.candidates(request)
        if not candidates or request.attempt_count >= self._context.settings.max_attempts:
            return
        pair = self._sampler.draw_pair(request, candidates)
        if pair is None:
            return
        backend, load = self._sampler.choose(request, pair)
        if backend is not request.in_flight[attempt].backend:
            self._attempts.retry_budget.take()
            self._attempts.send(request, backend, load)
