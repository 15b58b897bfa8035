"""The permits that a request needs before its first attempt: a token of its tenant's quota, and its operation's claim.

The total wait for both is bounded so that a refusal is not late: a client that is refused within a quarter of the
latency target still has time for another attempt.
"""

from __future__ import annotations

from random import Random
from typing import Protocol

import msgspec

from lilacsill.mesh.operations.operation_gate import OperationGate, OperationRun, Permission
from lilacsill.mesh.operations.operation_table import Refusal
from lilacsill.mesh.quota.quota_client import QuotaClient
from lilacsill.mesh.quota.quota_decision import QuotaDecision, QuotaVerdict
from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.records import StoredResponse

from .reasons import RefusalReason
from .request_counters import RequestCounters
from .response_writer import delay_header, retry_after
from .undecided_log import UndecidedLog

PERMIT_WAIT_SHARE = 0.22  # of the latency target, counted from the arrival of the request
MIN_RETRY_AFTER_US = 5_000  # for a request over its tenant's quota

OPERATION_REFUSALS = {
    Refusal.IN_PROGRESS: RefusalReason.OPERATION_IN_PROGRESS,
    Refusal.UNKNOWN: RefusalReason.OPERATION_UNKNOWN,
    Refusal.UNAVAILABLE: RefusalReason.OPERATION_UNDECIDED,
    Refusal.FULL: RefusalReason.OPERATIONS_FULL,
}
UNDECIDED_REASONS = (
    RefusalReason.QUOTA_UNDECIDED,
    RefusalReason.OPERATION_UNDECIDED,
    RefusalReason.OPERATIONS_FULL,
)


class LocalResponse(msgspec.Struct, frozen=True):
    """A response that the proxy sends without an attempt at a backend."""

    status: int
    headers: Headers
    body: bytes


class PermitNeeds(msgspec.Struct, frozen=True):
    """The permits that one request needs."""

    tenant: str  # name; empty if the request has no tenant
    is_limited: bool  # whether the tenant has a quota
    operation_key: bytes | None  # None: not an operation that must run only once
    attempt_id: bytes
    target_us: int  # latency target of the route
    decide_by: int  # when the request is refused if there is no decision yet; microseconds of the reactor's clock


class PermitListener(Protocol):
    """The request that waits for permits. At most one of the methods is called, once."""

    def on_permitted(self, run: OperationRun | None) -> None:
        """Make the first attempt; the outcome of an operation that must run only once is reported to `run`."""

    def on_answered(self, response: LocalResponse) -> None:
        """Send this response; the request does not run."""


class Cancellable(Protocol):
    """A pending decision on a permit."""

    def cancel(self) -> None:
        """Withdraw the request for the permit."""


class PendingPermits:
    """The pending permits of one request."""

    def __init__(self, permits: RequestPermits, needs: PermitNeeds, listener: PermitListener) -> None:
        self._permits, self._needs, self._listener = permits, needs, listener
        self._pending: Cancellable | None = None
        self.is_over = False

    def start(self) -> None:
        """Request the first permit. The listener may be called before this method returns."""
        quota = self._permits.quota
        if quota is None or not self._needs.is_limited:
            self._request_operation()
        else:
            self._pending = quota.request(self._needs.tenant, self._time_left_us(), self._on_quota_decision)

    def cancel(self) -> None:
        """Withdraw the request: it has not run and will not run."""
        self.is_over = True
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()

    def _time_left_us(self) -> int:
        return max(0, self._needs.decide_by - self._permits.now())

    def _on_quota_decision(self, decision: QuotaDecision) -> None:
        self._pending = None
        if self.is_over:
            return
        if decision.verdict is QuotaVerdict.GRANTED:
            self._request_operation()
        elif decision.verdict is QuotaVerdict.DENIED:
            self._answer(self._permits.quota_exceeded(decision.retry_after_us))
        else:
            self._answer(self._permits.undecided(RefusalReason.QUOTA_UNDECIDED, self._needs.target_us))

    def _request_operation(self) -> None:
        key, operations = self._needs.operation_key, self._permits.operations
        if key is None or operations is None:
            self._permit(None)
            return
        pending = operations.request(self._needs.tenant, key, self._time_left_us(), self._on_permission)
        if not self.is_over:
            self._pending = pending

    def _on_permission(self, permission: Permission) -> None:
        if isinstance(permission, OperationRun):
            self._permit(permission)
        elif isinstance(permission, StoredResponse):
            self._answer(replay(permission, self._needs.attempt_id))
        else:
            self._answer(self._permits.refused_operation(permission, self._needs.target_us))

    def _permit(self, run: OperationRun | None) -> None:
        self.is_over, self._pending = True, None
        self._listener.on_permitted(run)

    def _answer(self, response: LocalResponse) -> None:
        self.is_over, self._pending = True, None
        self._listener.on_answered(response)


class RequestPermits:
    """Obtains the permits for the requests of one proxy.

    Attributes:
        quota: Grants tokens of tenants' quotas; None: quotas are not enforced.
        operations: Claims operations that must run only once; None: they run like other writes.
    """

    def __init__(self, clock: Clock, rng: Random, counters: RequestCounters) -> None:
        self._clock, self._rng, self._counters = clock, rng, counters
        self._undecided_log = UndecidedLog()
        self.quota: QuotaClient | None = None
        self.operations: OperationGate | None = None

    def now(self) -> int:
        """Return the current time in microseconds."""
        return self._clock.now()

    def request(self, needs: PermitNeeds, listener: PermitListener) -> PendingPermits:
        """Request all permits that a request needs.

        The listener is called once, unless the request is cancelled, and possibly before this method returns.
        """
        pending = PendingPermits(self, needs, listener)
        pending.start()
        return pending

    def quota_exceeded(self, retry_after_us: int) -> LocalResponse:
        """Count a request over its tenant's quota, and return its response."""
        self._counters.refusals[RefusalReason.QUOTA_EXCEEDED] += 1
        header = delay_header(max(MIN_RETRY_AFTER_US, retry_after_us))
        return LocalResponse(429, [header], b"beyond the quota of the tenant\n")

    def undecided(self, reason: RefusalReason, target_us: int) -> LocalResponse:
        """Count a request that was not decided in time, so it has not run and will not, and return its response."""
        self._counters.refusals[reason] += 1
        self._undecided_log.record(reason, self.now())
        return LocalResponse(503, [retry_after(target_us, self._rng)], b"not decided in time\n")

    def refused_operation(self, refusal: Refusal, target_us: int) -> LocalResponse:
        """Count a request whose operation may not run now, and return its response."""
        reason = OPERATION_REFUSALS[refusal]
        if reason in UNDECIDED_REASONS:
            return self.undecided(reason, target_us)
        self._counters.refusals[reason] += 1
        if refusal is Refusal.IN_PROGRESS:
            return LocalResponse(409, [], b"the operation is in progress\n")
        return LocalResponse(502, [], b"it is not known whether the operation ran\n")


class Clock(Protocol):
    """The clock of the reactor."""

    def now(self) -> int:
        """Return the current time in microseconds."""


def permit_deadline(arrived_at: int, target_us: int, deadline: int) -> int:
    """Return the time until which a request may wait for its permits."""
    return min(arrived_at + int(PERMIT_WAIT_SHARE * target_us), deadline)


def replay(response: StoredResponse, attempt_id: bytes) -> LocalResponse:
    """Return the stored response of the first run, with the `Attempt-Id` of the repeated request."""
    headers = [(name, attempt_id if name.lower() == b"attempt-id" else value) for name, value in response.headers]
    return LocalResponse(response.status, headers, response.body)
