"""Load probing: requests fresh load reports of both sampled backends before they are compared, where that is cheap."""

from __future__ import annotations

from typing import Protocol

from ..interface import Outcome, Probe, ProbeEnded
from .records import BackendRecord, RequestRecord
from .sampling import Pair, Sampler


class ProbeListener(Protocol):
    """Callbacks of the prober for ended probes."""

    def on_pair_ready(self, request: RequestRecord) -> None:
        """Choose between the sampled backends of a request, whose reports have arrived or are no longer awaited."""

    def on_load_reported(self, backend: BackendRecord, load: float, requested_at: int) -> None:
        """Handle a load report before it is recorded in the load table."""

    def time_left_us(self, request: RequestRecord) -> int:
        """Return the time during which a response to the request still has value, microseconds."""


class LoadProber:
    """Sends probes and tracks the requests that wait for their load reports."""

    def __init__(self, sampler: Sampler, listener: ProbeListener) -> None:
        self._context, self._members, self._table = sampler.context, sampler.members, sampler.table
        self._sampler, self._policy, self._listener = sampler, sampler.probe_policy, listener

    def refresh_pair(self, request: RequestRecord, pair: Pair) -> None:
        """Request fresh load reports of both samples where that is cheap, then notify the listener."""
        # At one request per second, each of fifty backends reports about once a minute. With reports that old, two
        # samples were no better than one.
        now, timeout_us = self._context.now, self._policy.timeout_us
        request.sampled_pair = pair
        request.awaiting_report = []
        if self._policy.is_active():
            request.awaiting_report = [
                backend for backend in dict.fromkeys(pair) if now - backend.reported_at > timeout_us
            ]
        if not request.awaiting_report:
            self._listener.on_pair_ready(request)
            return
        for backend in request.awaiting_report:
            if not backend.probe_sent_at or now - backend.probe_sent_at > timeout_us:
                self._probe(backend)
            backend.probe_waiters.append(request)
        request.pairs_drawn += 1
        due_at = now + min(timeout_us, self._listener.time_left_us(request))
        self._context.call_at(due_at, self._on_timeout, request, request.pairs_drawn)

    def probe_if_stale(self, backend: BackendRecord) -> None:
        """Probe a backend with an overdue attempt, unless its load report is fresh."""
        if backend.in_maintenance or backend.probe_sent_at or not self._policy.is_active():
            return
        if self._context.now - backend.reported_at > self._policy.timeout_us:
            self._probe(backend)

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Record the load report. A successful probe does not prove health: the process may still fail requests."""
        now = self._context.now
        backend = self._members.backends.get(event.backend)
        if backend is None:
            return
        self._sampler.saturation.clear()
        self._sampler.outliers.record_probe(backend, now, event.outcome)
        requested_at, backend.probe_sent_at = backend.probe_sent_at, 0
        waiters, backend.probe_waiters = backend.probe_waiters, []
        load = self._table.reported_load(event.report) if event.outcome is Outcome.OK else None
        if load is not None:
            self._listener.on_load_reported(backend, load, requested_at)
            self._table.record_report(now, backend, load, requested_at)
        for request in waiters:
            if request.sampled_pair is None or request.is_answered or backend not in request.awaiting_report:
                continue
            if load is not None:
                request.awaiting_report.remove(backend)
            if load is None or not request.awaiting_report:
                self._listener.on_pair_ready(request)

    def _probe(self, backend: BackendRecord) -> None:
        backend.probe_sent_at = self._context.now
        self._context.actions.append(Probe(backend.id))

    def _on_timeout(self, request: RequestRecord, pairs_drawn: int) -> None:
        if request.sampled_pair is not None and request.pairs_drawn == pairs_drawn and not request.is_answered:
            self._listener.on_pair_ready(request)
