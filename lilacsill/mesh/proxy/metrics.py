"""Encodes the metrics of a proxy (`GET /metrics`). Import this module only on the first scrape, to save memory."""

from __future__ import annotations

from lilacsill.mesh.operations.operation_gate import OperationGate
from lilacsill.mesh.runtime.metrics_text import MetricsText

from .backend_gateway import BackendGateway
from .discovery import DiscoveryClient
from .failure_detector import FailureDetector
from .forwarder import Forwarder
from .shared_state import SharedState


def encode_metrics(
    forwarder: Forwarder,
    gateway: BackendGateway,
    discovery: DiscoveryClient,
    detector: FailureDetector,
    shared_state: SharedState,
    now: int,
) -> bytes:
    """Return all metrics at the time `now`, in microseconds, in text format."""
    text = MetricsText()
    _add_requests(text, forwarder)
    _add_operations(text, forwarder.permits.operations)
    _add_relays(text, shared_state)
    _add_backend(text, gateway, now)
    _add_configuration(text, forwarder, discovery, now)
    text.gauge("suspected_proxies", "Other proxies that this one cannot reach", len(detector.suspects))
    return text.encode()


def _add_requests(text: MetricsText, forwarder: Forwarder) -> None:
    counters = forwarder.counters
    by_status = {str(status): count for status, count in counters.responses.items()}
    text.counter_by("status", "responses", "Responses to clients of this machine, by HTTP status", by_status)
    text.counter("responses_truncated", "Responses that ended early", counters.truncated)
    text.counter("requests_cancelled", "Requests whose client left before the response", counters.cancelled)
    text.counter("retries", "Attempts after one that reached a backend", counters.retries)
    text.counter_by("reason", "offers_rejected", "Offers that another proxy rejected", counters.rejections)
    text.counter("offers_unreachable", "Offers for which no link could be opened", counters.unreachable)
    text.counter_by(
        "reason", "attempts_failed", "Attempts that may have run and had no response", counters.failed_attempts
    )
    text.counter_by("reason", "requests_refused", "Requests answered before any attempt", counters.refusals)
    text.counter("requests_broken_off", "Requests answered because this process ends", counters.aborted_for_shutdown)
    text.gauge("requests_in_flight", "Requests of clients of this machine", len(forwarder.in_flight))


def _add_operations(text: MetricsText, operations: OperationGate | None) -> None:
    if operations is None:
        return
    text.gauge("operations", "Operations with a key that this proxy remembers", len(operations.table))
    text.gauge("operation_response_bytes", "Their stored responses", operations.table.stored_bytes)
    text.counter("operations_replayed", "Repeats that got a stored response", operations.replays)


def _add_relays(text: MetricsText, shared_state: SharedState) -> None:
    counters = shared_state.relay_counters
    unreachable = len(shared_state.unreachable)
    text.gauge("core_machines_unreachable", "Core machines that do not answer this proxy", unreachable)
    text.counter("questions_relayed", "Questions that were answered through another proxy", counters.answered)
    text.counter("relays_unanswered", "Questions that other proxies brought no answer to", counters.unanswered)
    text.counter("relays_served", "Questions of other proxies sent to core machines", counters.served)
    text.counter("relays_refused", "Questions of other proxies that were not sent", counters.refused)


def _add_backend(text: MetricsText, gateway: BackendGateway, now: int) -> None:
    admission, pool = gateway.admission, gateway.pool
    text.gauge("backend_slots", "Requests that the backend works on at once", admission.slots)
    text.gauge("backend_running", "Requests at the backend", admission.running)
    text.gauge("backend_queue", "Requests that wait for a slot", admission.waiting)
    text.gauge("backend_connections", "Open connections to the backend", len(pool.connections))
    text.gauge("backend_circuit_open", "1 while the circuit breaker is open", not gateway.circuit_breaker.is_closed)
    text.gauge(
        "backend_failure_rate", "Share of failed outcomes, older ones counting less", admission.load(now).failure_rate
    )


def _add_configuration(text: MetricsText, forwarder: Forwarder, discovery: DiscoveryClient, now: int) -> None:
    age_ms = discovery.config_freshness.age_ms(now)
    text.gauge("config_seq", "Number of the newest change in force here", forwarder.config.seq)
    text.gauge(
        "config_current", "1 while this is known to be the configuration in force", discovery.is_config_current()
    )
    text.gauge("config_proof_age_seconds", "Age of the proof of that", None if age_ms is None else age_ms / 1000)
