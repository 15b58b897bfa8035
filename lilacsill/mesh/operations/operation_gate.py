"""Decides whether a request may run its operation, and records the outcome of the run. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import OperationQuery, OperationReply
from lilacsill.mesh.runtime.records import StoredResponse

from .claim_client import ClaimClient, ClaimOutcome, Decision, PendingClaim
from .operation_name import operation_name
from .operation_table import OperationRecord, OperationTable, Refusal

REFUSALS = {
    ClaimOutcome.IN_PROGRESS: Refusal.IN_PROGRESS,
    ClaimOutcome.UNKNOWN: Refusal.UNKNOWN,
    ClaimOutcome.FULL: Refusal.FULL,
    ClaimOutcome.UNAVAILABLE: Refusal.UNAVAILABLE,
}


class OperationRun:
    """The right to run an operation once. Its holder reports one outcome; later reports are ignored."""

    def __init__(self, table: OperationTable, record: OperationRecord, environment: Environment) -> None:
        self._table, self._environment = table, environment
        self._record: OperationRecord | None = record  # None once the outcome is reported

    def _end(self) -> OperationRecord | None:
        record, self._record = self._record, None
        return record

    def answer(self, response: StoredResponse) -> None:
        """Store the response for repeats of the operation."""
        record = self._end()
        if record is not None:
            self._table.answer(record, response, self._environment.now())

    def release(self) -> None:
        """Record that the operation has not run and will not run for this request."""
        record = self._end()
        if record is not None:
            self._table.release(record, self._environment.now())

    def record_unknown(self) -> None:
        """Record that the operation may have run, and that there is no response."""
        record = self._end()
        if record is not None:
            self._table.record_unknown(record, self._environment.now())


Permission = OperationRun | StoredResponse | Refusal
OnPermission = Callable[[Permission], None]


class PendingPermission:
    """A request that waits for the decision on its claim."""

    def __init__(self, gate: OperationGate, record: OperationRecord, on_permission: OnPermission) -> None:
        self._gate, self._record = gate, record
        self._on_permission: OnPermission | None = on_permission  # None once decided or cancelled
        self._claim: PendingClaim | None = None

    def start(self, timeout_us: int) -> None:
        """Send the claim."""
        record = self._record
        self._claim = self._gate.claims.claim(record.name, record.claim, record.replaces, timeout_us, self._on_decision)

    def cancel(self) -> None:
        """Cancel the request: its operation has not run, and a later grant does not run it."""
        if self._on_permission is None:
            return
        self._on_permission = None
        if self._claim is not None:
            self._claim.cancel()
        self._gate.table.release(self._record, self._gate.environment.now())

    def _on_decision(self, decision: Decision) -> None:
        on_permission, self._on_permission = self._on_permission, None
        permission = self._gate.conclude(self._record, decision)
        if on_permission is not None:
            on_permission(permission)


class OperationGate:
    """Admits the operations of one proxy.

    Attributes:
        table: The records of the operations.
        claims: Sends claims to the store.
        replays: Number of requests answered with a stored response.
    """

    def __init__(self, table: OperationTable, environment: Environment, members: CoreMembers) -> None:
        self.table, self.environment = table, environment
        self.claims = ClaimClient(environment, members, table.record_granted)
        self.replays = 0

    def request(
        self, tenant: str, key: bytes, timeout_us: int, on_permission: OnPermission
    ) -> PendingPermission | None:
        """Request the right to run an operation.

        Args:
            tenant: The name of the tenant; empty if there is none.
            key: The value of the header `Operation-Key`.
            timeout_us: The maximum time until the decision.
            on_permission: Called once, possibly from inside this call, with the right to run, the response of the first
                run, or a refusal.

        Returns:
            The pending request, or None if `on_permission` was already called.
        """
        now = self.environment.now()
        result = self.table.begin(operation_name(tenant, key), now)
        if isinstance(result, StoredResponse | Refusal):
            on_permission(self._count(result))
            return None
        record = result.record
        if record.is_granted:
            on_permission(self._run(record))
            return None
        pending = PendingPermission(self, record, on_permission)
        pending.start(timeout_us)
        return pending

    def conclude(self, record: OperationRecord, decision: Decision) -> Permission:
        """Convert the decision on a claim into a permission, and update the table."""
        if decision is ClaimOutcome.GRANTED:
            return self._run(record)
        if decision is ClaimOutcome.IN_PROGRESS or isinstance(decision, StoredResponse):
            self.table.discard(record)  # the other proxy is known to own the operation
        else:
            # The claim may be in force nevertheless, so the record is kept for queries of other proxies. This also
            # applies if another owner was named, since that answer may come from a head that has been replaced.
            self.table.release(record, self.environment.now())
        return self._count(decision if isinstance(decision, StoredResponse) else REFUSALS[decision])

    def reply_to(self, query: OperationQuery) -> OperationReply:
        """Return the state of an operation for the query of another proxy."""
        return self.table.reply_to(query, self.environment.now())

    def _run(self, record: OperationRecord) -> OperationRun | Refusal:
        if not self.table.start(record, self.environment.now()):
            return Refusal.UNAVAILABLE
        return OperationRun(self.table, record, self.environment)

    def _count(self, permission: StoredResponse | Refusal) -> StoredResponse | Refusal:
        self.replays += isinstance(permission, StoredResponse)
        return permission
