"""Attempts: sending them, handling their outcomes, and giving each request exactly one final answer."""

from __future__ import annotations

from typing import Protocol

from ..interface import (
    NEVER_RAN,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Fail,
    Outcome,
    Reject,
    Send,
    StreamStarted,
    UploadChanged,
)
from .concurrency_window import ConcurrencyWindow
from .load_probing import LoadProber
from .outcomes import is_overload_rejection
from .outlier_detection import FAST_FAILURE
from .overdue_attempts import OverdueMonitor
from .peer_reports import PeerReports
from .records import AttemptRecord, BackendRecord, RequestRecord
from .retry_budget import RetryBudget
from .sampling import Sampler
from .tenant_quotas import TenantQuotas

RETRY_AFTER_LATENCIES = 4.0  # retry delay in typical latencies: an earlier retry competes with others and is late


class AttemptListener(Protocol):
    """Callbacks of the attempt manager for ended attempts."""

    def schedule(self, request: RequestRecord) -> None:
        """Start another attempt of a request that has none in flight, or finish the request."""

    def on_capacity_freed(self) -> None:
        """Schedule queued requests after an attempt has freed capacity."""


class AttemptManager:
    """The open requests and their attempts.

    Attributes:
        requests: Open requests by number.
        waiting: Numbers of the requests that are queued because all backends are busy.
        window: Limit of the attempts in flight.
        retry_budget: Budget of retries and hedged attempts.
        overdue: Monitor of overdue attempts.
    """

    def __init__(
        self,
        sampler: Sampler,
        peers: PeerReports,
        quotas: TenantQuotas,
        prober: LoadProber,
        listener: AttemptListener,
    ) -> None:
        self._context, self._sampler, self._table = sampler.context, sampler, sampler.table
        self._peers, self._quotas, self._listener = peers, quotas, listener
        self.requests: dict[int, RequestRecord] = {}
        self.waiting: set[int] = set()
        self.retry_budget = RetryBudget()
        self.window = ConcurrencyWindow(self._context.settings.balancer_count)
        self.overdue = OverdueMonitor(sampler, prober, self)

    def send(self, request: RequestRecord, backend: BackendRecord, load: float) -> None:
        """Start an attempt.

        Args:
            request: Request to send.
            backend: Backend that receives the attempt.
            load: Estimated load of the backend, including this attempt.
        """
        now = self._context.now
        attempt = AttemptRecord(request.attempt_count, backend, now, load)
        request.attempt_count += 1
        request.in_flight[attempt.number] = attempt
        request.may_have_run.append(attempt)
        request.tried.append(backend)
        backend.in_flight[request.id, attempt.number] = backend.sent_at = now
        self.window.record_send(now)
        self._sampler.warm_up.record_send(backend, now)
        self.overdue.start()
        timeout_us = max(1, request.deadline - now - self._context.answer_margin_us)
        self._context.actions.append(Send(request.id, backend.id, timeout_us))
        self.overdue.schedule_hedge(request, attempt.number)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome of an attempt, then answer or retry its request."""
        now, request = self._context.now, self.requests.get(event.request)
        if request is None or event.attempt not in request.in_flight:
            return
        self._sampler.saturation.clear()
        attempt = request.in_flight.pop(event.attempt)
        if attempt.backend.in_flight.pop((request.id, event.attempt), None) is not None:
            self.window.record_end(now, event.outcome is Outcome.OK)
        self._record_outcome(event, attempt)
        if event.outcome in NEVER_RAN:
            request.may_have_run = [other for other in request.may_have_run if other.number != event.attempt]
        if event.is_answered and not request.is_answered:
            self._close(request)
        if not request.in_flight:
            if request.is_answered:
                self.requests.pop(request.id, None)
            else:
                self._retry(request, event.outcome)
        self._listener.on_capacity_freed()

    def on_stream_started(self, event: StreamStarted) -> None:
        """Treat the request as answered; a streaming attempt does not count as load of its backend."""
        request = self.requests.get(event.request)
        if request is None or event.attempt not in request.in_flight:
            return
        backend = request.in_flight[event.attempt].backend
        self._suspend(request, event.attempt, is_answered=True)
        request.is_answered, backend.responded_at = True, self._context.now
        self._cancel_attempts(request, keep=event.attempt)
        self._listener.on_capacity_freed()

    def on_upload_changed(self, event: UploadChanged) -> None:
        """Exclude the attempt from the load of its backend until the upload of its request is complete."""
        request, now = self.requests.get(event.request), self._context.now
        if request is None or event.attempt not in request.in_flight:
            return
        attempt = request.in_flight[event.attempt]
        self._suspend(request, event.attempt, is_answered=False)
        if event.complete:
            self.window.record_send(now)
            attempt.backend.in_flight[request.id, event.attempt] = now
            request.in_flight[event.attempt] = AttemptRecord(event.attempt, attempt.backend, now, attempt.load)
        self._listener.on_capacity_freed()

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close the request, since no final answer is due."""
        request = self.requests.get(event.request)
        if request is not None and not request.is_answered:
            self._close(request)

    def finish(self, request: RequestRecord) -> None:
        """Give a final answer without a response: Reject if a client's retry is harmless, otherwise Fail."""
        if request.may_reject():
            self._context.actions.append(Reject(request.id, self._retry_after_us()))
        else:
            self._context.actions.append(Fail(request.id))
        self._close(request)

    def _record_outcome(self, event: AttemptEnded, attempt: AttemptRecord) -> None:
        """Update load, latency, health, peers and quotas with the outcome of an attempt."""
        now, backend, table = self._context.now, attempt.backend, self._table
        is_timed = attempt.sent_at >= self._context.resumed_at
        table.record_attempt(now, backend, event, attempt.load, is_timed)
        load = table.reported_load(event.report)
        if self._peers.fanout and event.outcome is Outcome.OK and load is not None:
            self._peers.send_report(backend, load - 1)
        # A time-out counts as a failure of a backend only if no response arrived since the start of the attempt;
        # otherwise the backend is slow, not faulty. A rejection because of overload is a response, not a failure; the
        # load table already contains the reported load.
        is_overloaded = is_overload_rejection(event, table.load_column, table.mean_load)
        counts_as_evidence = event.outcome is not Outcome.TIMEOUT or backend.responded_at <= attempt.sent_at
        if not is_overloaded and counts_as_evidence:
            was_fast = event.latency_us < FAST_FAILURE * table.typical_latency_us
            self._sampler.outliers.record_attempt(backend, now, event.outcome, was_fast)
        self._quotas.record_traffic(len(backend.in_flight) + 1, max(0.0, backend.other_load))

    def _retry(self, request: RequestRecord, outcome: Outcome) -> None:
        # Unbounded retries at saturated backends led to twenty attempts per request. A failed connect costs no token,
        # since it puts no load on a backend.
        if outcome is not Outcome.CONNECT_FAILED:
            if self.retry_budget.is_empty():
                self.finish(request)
                return
            self.retry_budget.take()
        self._listener.schedule(request)

    def _suspend(self, request: RequestRecord, attempt: int, is_answered: bool) -> None:
        """Remove an attempt from the load of its backend and from the concurrency window."""
        backend = request.in_flight[attempt].backend
        if backend.in_flight.pop((request.id, attempt), None) is not None:
            self.window.record_end(self._context.now, is_answered)

    def _retry_after_us(self) -> int:
        settings = self._context.settings
        if not settings.can_advise_retry:
            return 0
        return min(int(RETRY_AFTER_LATENCIES * self._table.typical_latency_us), settings.max_retry_after_us)

    def _close(self, request: RequestRecord) -> None:
        """Mark a request as answered, cancel its attempts if possible, and remove it once none is in flight."""
        request.is_answered = True
        self.waiting.discard(request.id)
        self._cancel_attempts(request)
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def _cancel_attempts(self, request: RequestRecord, keep: int | None = None) -> None:
        if self._context.settings.can_cancel:
            self._context.actions.extend(Cancel(request.id, number) for number in request.in_flight if number != keep)
