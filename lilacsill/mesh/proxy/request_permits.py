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
from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.records import StoredResponse

from .response_writer import retry_after

PATIENCE_SHARE = 0.22  # of the latency target, from the arrival of the request on
UNKNOWN_OUTCOME_BODY = b"it is not known whether the operation ran\n"


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
        self._request_operation()

    def cancel(self) -> None:
        """Withdraw the request: it has not run, and will not."""
        self.is_over = True
        waits_for, self._waits_for = self._waits_for, None
        if waits_for is not None:
            waits_for.cancel()

    def _patience_us(self) -> int:
        return max(0, self._needs.patience_until_us - self._permits.now())

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
            self._answer(self._permits.refusal_response(permission, self._needs.target_us))

    def _permit(self, run: OperationRun | None) -> None:
        self.is_over, self._waits_for = True, None
        self._listener.on_permitted(run)

    def _answer(self, response: OwnResponse) -> None:
        self.is_over, self._waits_for = True, None
        self._listener.on_answered(response)


class RequestPermits:
    """Gives the requests of one proxy what they need.

    Attributes:
        operations: Decides on operations that run once; None: none is known to, as without a store.
    """

    def __init__(self, clock: Clock, rng: Random, operations: OperationGate | None = None) -> None:
        self._clock, self._rng = clock, rng
        self.operations = operations

    def now(self) -> int:
        """Return the current time in microseconds."""
        return self._clock.now()

    def request(self, needs: PermitNeeds, listener: PermitListener) -> PendingPermits:
        """Ask for all that a request needs; the listener is called once, perhaps before this returns."""
        pending = PendingPermits(self, needs, listener)
        pending.start()
        return pending

    def refusal_response(self, refusal: Refusal, target_us: int) -> OwnResponse:
        """Return what a client gets whose operation may not run now."""
        if refusal is Refusal.IN_PROGRESS:
            return OwnResponse(409, [], b"the operation is in progress\n")
        if refusal is Refusal.UNKNOWN:
            return OwnResponse(502, [], UNKNOWN_OUTCOME_BODY)
        return OwnResponse(503, [retry_after(target_us, self._rng)], b"not decided: it has not run\n")


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
