"""The wait of one request for its permits, and its reports to the run of its operation."""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.tenants.tenant import Tenant

from .request_head import attempt_id
from .request_permits import PendingPermits, PermitListener, PermitNeeds, RequestPermits, patience_until_us
from .routes import Route


def permit_needs(
    request: HttpMessage, route: Route, tenant: Tenant | None, arrived_at: int, deadline: int
) -> PermitNeeds | None:
    """Return what a request needs before its first attempt; None: nothing."""
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
        patience_until_us=patience_until_us(arrived_at, route.target_us, deadline),
    )


class RequestPermission:
    """The permits of one request while it waits for them; then the run of its operation, if it has one."""

    __slots__ = ("_pending", "_run")

    def __init__(self) -> None:
        self._pending: PendingPermits | None = None
        self._run: OperationRun | None = None

    def request(self, permits: RequestPermits, needs: PermitNeeds, listener: PermitListener) -> None:
        """Ask for the permits. The listener may be called before this returns."""
        self._pending = permits.request(needs, listener)

    def begin_run(self, run: OperationRun) -> None:
        """Take the run of an operation that runs once."""
        self._run = run

    @property
    def is_pending(self) -> bool:
        """Whether the request waits for its permits: it has not run."""
        return self._pending is not None and not self._pending.is_over

    @property
    def has_run(self) -> bool:
        """Whether there is a run, which repeats of the request wait for."""
        return self._run is not None

    def release_run(self) -> None:
        """Report that the operation has not run and will not."""
        if self._run is not None:
            self._run.release()

    def end(self) -> None:
        """Wait no longer; what the run has not been notified of stays unknown."""
        if self._pending is not None and not self._pending.is_over:
            self._pending.cancel()
        if self._run is not None:
            self._run.record_unknown()  # unless its outcome has been reported
