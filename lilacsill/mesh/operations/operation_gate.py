"""The one place where a request asks whether it may run its operation, and reports what became of it. No I/O."""

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
    """The right to run an operation once. Its holder reports one outcome; a second report changes nothing."""

    def __init__(self, table: OperationTable, record: OperationRecord, environment: Environment) -> None:
        self._table, self._environment = table, environment
        self._record: OperationRecord | None = record  # None: the outcome is known

    def _end(self) -> OperationRecord | None:
        record, self._record = self._record, None
        return record

    def answer(self, response: StoredResponse) -> None:
        """Store the response for repeats of the operation."""
        record = self._end()
        if record is not None:
            self._table.answer(record, response, self._environment.now())

    def release(self) -> None:
        """Note that the operation has not run and will not run for this request."""
        record = self._end()
        if record is not None:
            self._table.release(record, self._environment.now())

    def record_unknown(self) -> None:
        """Note that the operation may have run, and has no response."""
        record = self._end()
        if record is not None:
            self._table.record_unknown(record, self._environment.now())


Permission = OperationRun | StoredResponse | Refusal
OnPermission = Callable[[Permission], None]


class PendingPermission:
    """A request that waits for the decision on its claim."""

    def __init__(self, gate: OperationGate, record: OperationRecord, on_permission: OnPermission) -> None:
        self._gate, self._record = gate, record
        self._on_permission: OnPermission | None = on_permission  # None: there was a decision, or it was withdrawn
        self._claim: PendingClaim | None = None

    def start(self, patience_us: int) -> None:
        """Send the claim."""
        record = self._record
        self._claim = self._gate.claims.claim(
            record.name, record.claim, record.replaces, patience_us, self._on_decision
        )

    def cancel(self) -> None:
        """Withdraw the request: its operation has not run, and a grant that is still to come does not run it."""
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
    """The operations of one proxy.

    Attributes:
        table: What is known of them.
        claims: Makes the claims on them.
        replays: How many were answered with a stored response.
    """

    def __init__(self, table: OperationTable, environment: Environment, members: CoreMembers) -> None:
        self.table, self.environment = table, environment
        self.claims = ClaimClient(environment, members, table.record_granted)
        self.replays = 0

    def request(
        self, tenant: str, key: bytes, patience_us: int, on_permission: OnPermission
    ) -> PendingPermission | None:
        """Ask for the right to run an operation.

        Args:
            tenant: The name of its tenant; empty: none.
            key: The value of `Operation-Key`.
            patience_us: How long the decision may take.
            on_permission: Called once, with the right, the response of the first run, or a refusal; perhaps at once.

        Returns:
            The request while it waits; None if `on_permission` was called.
        """
        now = self.environment.now()
        beginning = self.table.begin(operation_name(tenant, key), now)
        if isinstance(beginning, StoredResponse | Refusal):
            on_permission(self._count(beginning))
            return None
        record = beginning.record
        if record.is_granted:
            on_permission(self._run(record))
            return None
        pending = PendingPermission(self, record, on_permission)
        pending.start(patience_us)
        return pending

    def conclude(self, record: OperationRecord, decision: Decision) -> Permission:
        """Turn the decision on a claim into what the request may do, and keep the table in step."""
        if decision is ClaimOutcome.GRANTED:
            return self._run(record)
        if decision is ClaimOutcome.IN_PROGRESS or isinstance(decision, StoredResponse):
            self.table.discard(record)  # the other owner has spoken for the operation
        else:
            # The claim may be in force all the same, so the record stays: others may ask about it. Even where another
            # owner was named, it may have been by a head that has lost its place.
            self.table.release(record, self.environment.now())
        return self._count(decision if isinstance(decision, StoredResponse) else REFUSALS[decision])

    def reply_to(self, query: OperationQuery) -> OperationReply:
        """Tell another proxy what became of an operation."""
        return self.table.reply_to(query, self.environment.now())

    def _run(self, record: OperationRecord) -> OperationRun | Refusal:
        if not self.table.start(record, self.environment.now()):
            return Refusal.UNAVAILABLE
        return OperationRun(self.table, record, self.environment)

    def _count(self, permission: StoredResponse | Refusal) -> StoredResponse | Refusal:
        self.replays += isinstance(permission, StoredResponse)
        return permission
