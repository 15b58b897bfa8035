"""The permits of one request: waiting for them, and reporting the outcome of its operation."""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.tenants.tenant import Tenant

from .request_head import attempt_id
from .request_permits import PendingPermits, PermitListener, PermitNeeds, RequestPermits, permit_deadline
from .routes import Route


def permit_needs(
    request: HttpMessage, route: Route, tenant: Tenant | None, arrived_at: int, deadline: int
) -> PermitNeeds | None:
    """Return the permits that a request needs before its first attempt; None if it needs none."""
    is_limited = tenant is not None and tenant.is_limited
    operation_key = request.fields.get(b"operation-key") if route.is_keyed else None
    if not is_limited and operation_key is None:
        return None
    return PermitNeeds(
        tenant="" if tenant is None else tenant.name,
        is_limited=is_limited,
        operation_key=operation_key,
        attempt_id=attempt_id(request),
        target_us=route.target_us,
        decide_by=permit_deadline(arrived_at, route.target_us, deadline),
    )


class RequestPermission:
    """The pending permits of one request; once they are granted, the run of its operation, if there is one."""

    __slots__ = ("_pending", "_run")

    def __init__(self) -> None:
        self._pending: PendingPermits | None = None
        self._run: OperationRun | None = None

    def request(self, permits: RequestPermits, needs: PermitNeeds, listener: PermitListener) -> None:
        """Request the permits. The listener may be called before this method returns."""
        self._pending = permits.request(needs, listener)

    def begin_run(self, run: OperationRun) -> None:
        """Store the run of an operation that must run only once."""
        self._run = run

    @property
    def is_pending(self) -> bool:
        """Whether the request still waits for its permits, so that it cannot have run."""
        return self._pending is not None and not self._pending.is_over

    @property
    def has_run(self) -> bool:
        """Whether the request has a run, whose outcome repeats of the request wait for."""
        return self._run is not None

    def release_run(self) -> None:
        """Report that the operation has not run and will not run."""
        if self._run is not None:
            self._run.release()

    def end(self) -> None:
        """Cancel pending permits, and record the outcome of the run as unknown unless it was reported."""
        if self._pending is not None and not self._pending.is_over:
            self._pending.cancel()
        if self._run is not None:
            self._run.record_unknown()  # without effect if the outcome was reported
