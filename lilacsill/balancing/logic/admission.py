"""Admission control: decides whether a request is sent, queued, or answered without a response."""

from __future__ import annotations

from itertools import islice

from ..interface import RequestArrived
from ..interface.checks import require
from ..mechanisms.majority import majority_value
from .attempts import AttemptManager
from .load_probing import LoadProber
from .peer_reports import PeerReports
from .records import PAIRS_PER_ROUND, SECOND_US, BackendRecord, RequestRecord
from .sampling import Sampler
from .tenant_quotas import TenantQuotas

UNAVAILABLE_RECHECK_US = SECOND_US // 50  # interval between checks of a request for which no backend is eligible
MAX_WAITING_PER_BACKEND = 2.0  # requests per backend that all balancers may queue while all backends are busy
BUSY_RECHECK_LATENCIES = 0.15  # interval between checks of such a request, in typical latencies
MIN_TIME_LEFT_LATENCIES = 1.5  # typical latencies left to the target, below which such a request is not queued
RELEASED_PER_ATTEMPT_END = 4  # requests in the queue of the concurrency window that are checked when an attempt ends


class AdmissionControl:
    """Accepts requests, and schedules those that have no attempt in flight.

    Attributes:
        prober: Probes the sampled backends of requests.
        attempts: Open requests and their attempts.
    """

    def __init__(self, sampler: Sampler, peers: PeerReports, quotas: TenantQuotas) -> None:
        self._context, self._sampler, self._table = sampler.context, sampler, sampler.table
        self._eligibility, self._quotas = sampler.eligibility, quotas
        self.prober = LoadProber(sampler, listener=self)
        self.attempts = AttemptManager(sampler, peers, quotas, self.prober, listener=self)
        self._window_queue: dict[int, RequestRecord] = {}  # queued by the concurrency window, oldest first
        self._timeout_votes: dict[int, list[int]] = {}  # state of `majority_value`, by class

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Register a request and schedule it.

        Raises:
            ValueError: The request does not conform to the settings or is already open.
        """
        self._validate(event)
        relative_cost = self._table.relative_cost(event.cost_hint_us)
        request_class = self._context.settings.classes[event.request_class]
        draw = self._context.rng.random()
        request = RequestRecord(event, request_class, self._context.now, draw, relative_cost)
        self.attempts.requests[event.request] = request
        self.attempts.retry_budget.on_request()
        request.low_priority = self._has_low_priority(event)
        self.schedule(request)

    def schedule(self, request: RequestRecord) -> None:
        """Send the request if a backend is eligible; otherwise queue it or give its final answer."""
        self.attempts.waiting.discard(request.id)
        if self.time_left_us(request) <= 0 or request.attempt_count >= self._context.settings.max_attempts:
            self.attempts.finish(request)
            return
        candidates = self._eligibility.candidates(request)
        if not self._passes_window(request):
            return
        pair = self._sampler.draw_pair(request, candidates) if candidates else None
        if pair is not None:
            self.prober.refresh_pair(request, pair)
        else:
            self._queue_or_finish(request, bool(candidates))

    def on_pair_ready(self, request: RequestRecord) -> None:
        """Send the request to the better of the two samples that is expected to respond in time.

        If neither is, draw again up to the limit of pairs, then queue the request or give its final answer.
        """
        assert request.sampled_pair is not None
        pair, unreported = request.sampled_pair, request.awaiting_report
        request.sampled_pair, request.awaiting_report = None, []
        # A sample with a fresh report is preferred to one without; if neither has one, the load table decides.
        if len(unreported) == len(set(pair)):
            unreported = []
        limit_us = self._eligibility.time_limit(request)
        time_left_us = request.target_at - self._context.now
        allowed = [b for b in pair if self._eligibility.may_run_on(request, b) and b not in unreported]
        feasible = [
            b for b in allowed if self._eligibility.is_feasible(request, b, limit_us, time_left_us, was_probed=True)
        ]
        if feasible and self.time_left_us(request) > 0:
            # Requests that waited for the same probe may have filled the concurrency window.
            if self._passes_window(request):
                backend, load = self._sampler.choose(request, (feasible[0], feasible[-1]))
                self.attempts.send(request, backend, load)
        elif request.pairs_drawn < request.max_pairs:
            self.schedule(request)
        elif self._may_wait(request):
            self._wait(request)
        else:
            self.attempts.finish(request)

    def on_load_reported(self, backend: BackendRecord, load: float, requested_at: int) -> None:
        """Cancel an attempt whose response is lost according to the load report."""
        self.attempts.overdue.cancel_lost(backend, load, requested_at)

    def on_capacity_freed(self) -> None:
        """Schedule the oldest requests in the queue of the concurrency window.

        The queue is not polled: checking each request every 2 ms used a complete CPU at 2,000 requests per second.
        """
        for request in list(islice(self._window_queue.values(), RELEASED_PER_ATTEMPT_END)):
            if not self._is_window_open():
                return
            self._recheck(request)

    def time_left_us(self, request: RequestRecord) -> int:
        """Return the time during which a response still has value and can be forwarded, microseconds."""
        valuable_until = request.deadline if request.request_class.late_value else request.target_at
        return valuable_until - self._context.now - self._context.answer_margin_us

    def _validate(self, event: RequestArrived) -> None:
        class_count = len(self._context.settings.classes)
        require(0 <= event.request_class < class_count, "request_class", f"no class {event.request_class}")
        require(self._quotas.has_tenant(event.tenant), "tenant", f"no tenant {event.tenant}")
        require(event.request not in self.attempts.requests, "request", f"{event.request} is already open")

    def _has_low_priority(self, event: RequestArrived) -> bool:
        # Part of a client's retry's time to the target has already elapsed, unknown to the balancer: such requests were
        # late even when they were served before first tries. The same holds for a request that waited unread while the
        # caller stalled, and for one with a shorter time-out than most of its class.
        votes = self._timeout_votes.setdefault(event.request_class, [0, 0])
        is_short = event.timeout_us < majority_value(votes, event.timeout_us)
        is_over_quota = self._quotas.is_over_quota(event.tenant, self._context.now)
        return is_over_quota or event.is_retry or is_short or self._context.is_reading_backlog()

    def _queue_or_finish(self, request: RequestRecord, has_candidates: bool) -> None:
        """Queue a request for which no backend was found, or finish it.

        While no backend is eligible, a request without an attempt is queued until its `queue_until`, unless the reason
        is maintenance. While all backends are busy, a request is queued as long as `_may_wait` allows it.
        """
        now, queue_until = self._context.now, request.queue_until - self._context.answer_margin_us
        is_busy = has_candidates and self._sampler.saturation.is_busy
        is_in_maintenance = not has_candidates and bool(self._sampler.members.in_maintenance)
        if request.attempt_count == 0 and now < queue_until and not is_busy and not is_in_maintenance:
            self._context.call_at(min(now + UNAVAILABLE_RECHECK_US, queue_until), self._recheck, request)
        elif is_busy and self._may_wait(request):
            self._wait(request)
        else:
            self.attempts.finish(request)

    def _passes_window(self, request: RequestRecord) -> bool:
        """Return whether the concurrency window admits a request; otherwise queue it, or finish it if it is late."""
        now, queue_until = self._context.now, request.queue_until - self._context.answer_margin_us
        if request.attempt_count or self._is_window_open():
            self._window_queue.pop(request.id, None)
            return True
        if now >= queue_until:
            self._window_queue.pop(request.id, None)
            self.attempts.finish(request)
        elif request.id not in self._window_queue:
            self._window_queue[request.id] = request
            self._context.call_at(queue_until, self._recheck, request)
        return False

    def _is_window_open(self) -> bool:
        backend_count = len(self._sampler.members.ready)
        typical_us, resumed_at = self._table.typical_latency_us, self._context.resumed_at
        return self.attempts.window.admits(self._context.now, backend_count, typical_us, resumed_at)

    def _may_wait(self, request: RequestRecord) -> bool:
        """Return whether a request may wait for capacity to be freed; a retry after a rejection would be late."""
        typical_us = self._table.typical_latency_us
        backend_count = len(self._sampler.members.ready)
        max_waiting = max(1.0, MAX_WAITING_PER_BACKEND * backend_count / self._context.balancer_count)
        return (
            typical_us > 0
            and self._context.now + MIN_TIME_LEFT_LATENCIES * typical_us < request.target_at
            and len(self.attempts.waiting) < max_waiting
            and not request.low_priority
            and request.relative_cost <= 1.0
        )

    def _wait(self, request: RequestRecord) -> None:
        request.max_pairs = request.pairs_drawn + PAIRS_PER_ROUND
        self.attempts.waiting.add(request.id)
        delay_us = int(BUSY_RECHECK_LATENCIES * self._table.typical_latency_us)
        self._context.call_at(self._context.now + delay_us, self._recheck, request)

    def _recheck(self, request: RequestRecord) -> None:
        self._window_queue.pop(request.id, None)
        if not request.is_answered and not request.in_flight and request.sampled_pair is None:
            self.schedule(request)
