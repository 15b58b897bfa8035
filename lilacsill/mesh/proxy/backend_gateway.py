"""Accepts or rejects the requests that proxies offer to the backend of this machine."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.mesh.runtime.messages import Load, Offer, Rejected
from lilacsill.mesh.runtime.reactor import Reactor

from .admission import AdmissionController, AdmissionState
from .backend_lifecycle import BackendLifecycle
from .backend_monitor import BackendMonitor
from .backend_pool import BackendPool
from .backend_request import BackendRequest, OutcomeSink
from .circuit_breaker import CircuitBreaker
from .reasons import RejectionReason

QUEUE_CHECK_US = 20_000  # interval of the checks for requests that have waited too long


class BackendGateway:
    """Access to the backend: admission control, connections, and the requests in flight."""

    def __init__(self, reactor: Reactor, lifecycle: BackendLifecycle, address: Address) -> None:
        self.reactor, self.lifecycle = reactor, lifecycle
        self.admission = AdmissionController()
        self.circuit_breaker = CircuitBreaker()
        self.pool = BackendPool(reactor, address)
        self.requests: set[BackendRequest] = set()
        self.monitor = BackendMonitor(reactor, self.admission, self.circuit_breaker, self.pool, self.requests)
        self._checking_queue = False

    def now(self) -> int:
        """Return the current time in microseconds."""
        return self.reactor.now()

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.reactor.after(delay_us, call)

    def load(self) -> Load:
        """Return the load of the backend as reported to other proxies."""
        return self.admission.load(self.now())

    def offer(self, offer: Offer, sink: OutcomeSink) -> BackendRequest | None:
        """Accept or reject a request.

        Args:
            offer: The request.
            sink: Receives the outcome, possibly before this method returns.

        Returns:
            The accepted request; None if it was rejected.
        """
        now = self.now()
        reason = self._rejection_reason(offer, now)
        if reason is not None:
            self._reject(sink, reason, now)
            return None
        # A slot uses at most one connection, and one connection is reserved for health checks.
        self.admission.slots = max(1, min(self.lifecycle.slots, self.pool.max_connections - 1))
        request = BackendRequest(self, offer, sink)
        reason = self.admission.admit(request.admission, now)
        if reason is not None:
            request.is_over = True
            self.requests.discard(request)
            self._reject(sink, reason, now)
            return None
        self.monitor.start()
        if request.admission.state is AdmissionState.WAITING and not self._checking_queue:
            self._checking_queue = True
            self.reactor.after(QUEUE_CHECK_US, self._check_queue)
        return request

    def drain(self) -> None:
        """Start to drain: requests that still wait after `admitted_drain_us` are rejected."""
        self.reactor.after(self.lifecycle.admitted_drain_us, self.admission.reject_all, RejectionReason.DRAINING)

    def _rejection_reason(self, offer: Offer, now: int) -> RejectionReason | None:
        reason = self.lifecycle.rejection_reason(offer.server, now)
        if reason is None and self.circuit_breaker.rejects(offer.idempotent, now):
            return RejectionReason.UNREACHABLE
        return reason

    def _reject(self, sink: OutcomeSink, reason: RejectionReason, now: int) -> None:
        sink.send(Rejected(reason, self.admission.load(now)))

    def _check_queue(self) -> None:
        self.admission.reject_expired(self.now())
        self._checking_queue = self.admission.waiting > 0
        if self._checking_queue:
            self.reactor.after(QUEUE_CHECK_US, self._check_queue)
