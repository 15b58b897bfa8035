"""What a request needs beside its route before its first attempt: a token of its tenant's quota, and its operation.

A request waits for both together only as long as a refusal is not late: a client that is refused within a quarter of
the latency target still has time for another attempt.
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

PATIENCE_SHARE = 0.22  # of the latency target, from the arrival of the request on
MIN_RETRY_AFTER_US = 5_000  # of a request beyond its tenant's quota

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


class OwnResponse(msgspec.Struct, frozen=True):
    """A response that no attempt at a backend has brought."""

    status: int
    headers: Headers
    body: bytes


class PermitNeeds(msgspec.Struct, frozen=True):
    """What one request needs."""

    tenant: str  # its name; empty: there is none
    is_limited: bool  # the tenant has a quota
    operation_key: bytes | None  # of a request whose operation runs once
    attempt_id: bytes
    target_us: int  # latency target of its route
    patience_until_us: int  # when the request is refused if there is no decision; time of the reactor's clock


class PermitListener(Protocol):
    """The request."""

    def on_permitted(self, run: OperationRun | None) -> None:
        """Make the first attempt; `run` takes the outcome of an operation that runs once."""

    def on_answered(self, response: OwnResponse) -> None:
        """Send this response: the request does not run."""


class Cancellable(Protocol):
    """Something that a request waits for."""

    def cancel(self) -> None:
        """Wait no longer."""


class PendingPermits:
    """The permits of one request, while it waits for them."""

    def __init__(self, permits: RequestPermits, needs: PermitNeeds, listener: PermitListener) -> None:
        self._permits, self._needs, self._listener = permits, needs, listener
        self._waits_for: Cancellable | None = None
        self.is_over = False

    def start(self) -> None:
        """Ask for the first permit. The decision may come before this returns."""
        quota = self._permits.quota
        if quota is None or not self._needs.is_limited:
            self._request_operation()
        else:
            self._waits_for = quota.request(self._needs.tenant, self._patience_us(), self._on_quota_decision)

    def cancel(self) -> None:
        """Withdraw the request: it has not run, and will not."""
        self.is_over = True
        waits_for, self._waits_for = self._waits_for, None
        if waits_for is not None:
            waits_for.cancel()

    def _patience_us(self) -> int:
        return max(0, self._needs.patience_until_us - self._permits.now())

    def _on_quota_decision(self, decision: QuotaDecision) -> None:
        self._waits_for = None
        if self.is_over:
            return
        if decision.verdict is QuotaVerdict.GRANTED:
            self._request_operation()
        elif decision.verdict is QuotaVerdict.DENIED:
            self._answer(self._permits.beyond_quota(decision.retry_after_us))
        else:
            self._answer(self._permits.undecided(RefusalReason.QUOTA_UNDECIDED, self._needs.target_us))

    def _request_operation(self) -> None:
        key, operations = self._needs.operation_key, self._permits.operations
        if key is None or operations is None:
            self._permit(None)
            return
        pending = operations.request(self._needs.tenant, key, self._patience_us(), self._on_permission)
        if not self.is_over:
            self._waits_for = pending

    def _on_permission(self, permission: Permission) -> None:
        if isinstance(permission, OperationRun):
            self._permit(permission)
        elif isinstance(permission, StoredResponse):
            self._answer(replay(permission, self._needs.attempt_id))
        else:
            self._answer(self._permits.refused_operation(permission, self._needs.target_us))

    def _permit(self, run: OperationRun | None) -> None:
        self.is_over, self._waits_for = True, None
        self._listener.on_permitted(run)

    def _answer(self, response: OwnResponse) -> None:
        self.is_over, self._waits_for = True, None
        self._listener.on_answered(response)


class RequestPermits:
    """Gives the requests of one proxy what they need.

    Attributes:
        quota: Gives tokens of tenants' quotas; None: there are no quotas.
        operations: Decides on operations that run once; None: they run as other writes do.
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
        """Ask for all that a request needs; the listener is called once, perhaps before this returns."""
        pending = PendingPermits(self, needs, listener)
        pending.start()
        return pending

    def beyond_quota(self, retry_after_us: int) -> OwnResponse:
        """Return what a request beyond its tenant's quota gets."""
        self._counters.refusals[RefusalReason.QUOTA_EXCEEDED] += 1
        header = delay_header(max(MIN_RETRY_AFTER_US, retry_after_us))
        return OwnResponse(429, [header], b"beyond the quota of the tenant\n")

    def undecided(self, reason: RefusalReason, target_us: int) -> OwnResponse:
        """Return what a request gets that nobody could decide on in time: it has not run and will not."""
        self._counters.refusals[reason] += 1
        self._undecided_log.record(reason, self.now())
        return OwnResponse(503, [retry_after(target_us, self._rng)], b"not decided in time\n")

    def refused_operation(self, refusal: Refusal, target_us: int) -> OwnResponse:
        """Return what a request gets whose operation may not run now."""
        reason = OPERATION_REFUSALS[refusal]
        if reason in UNDECIDED_REASONS:
            return self.undecided(reason, target_us)
        self._counters.refusals[reason] += 1
        if refusal is Refusal.IN_PROGRESS:
            return OwnResponse(409, [], b"the operation is in progress\n")
        return OwnResponse(502, [], b"it is not known whether the operation ran\n")


class Clock(Protocol):
    """The clock of the reactor."""

    def now(self) -> int:
        """Return the current time in microseconds."""


def patience_until_us(arrived_at: int, target_us: int, deadline: int) -> int:
    """Return until when a request may wait for its permits."""
    return min(arrived_at + int(PATIENCE_SHARE * target_us), deadline)


def replay(response: StoredResponse, attempt_id: bytes) -> OwnResponse:
    """Return the response of the first run as a repeat gets it: under the repeat's own `Attempt-Id`."""
    headers = [(name, attempt_id if name.lower() == b"attempt-id" else value) for name, value in response.headers]
    return OwnResponse(response.status, headers, response.body)
