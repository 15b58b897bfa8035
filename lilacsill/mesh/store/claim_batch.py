"""Decide claims on operations in batches, each claim on top of the earlier ones. No I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lilacsill.mesh.runtime.messages import Claim, ClaimStatus, Item, OperationOwner

from .operation_records import FIRST_VERSION, floor_item, operation_item, owner_of

MAX_OPERATIONS = 100_000  # records at one time; 300 claims per second for five minutes make 90,000


class ClaimDecision(msgspec.Struct, frozen=True):
    """The decision on one claim.

    Attributes:
        status: GRANTED takes effect once the record is committed; OWNED and FULL take effect at once.
        owner: With OWNED: the owner in the existing record.
        recorded_seq: With GRANTED: the sequence number of the record.
    """

    status: ClaimStatus
    owner: OperationOwner | None = None
    recorded_seq: int = 0


class ClaimBatch:
    """The changes for claims that are decided together.

    Attributes:
        seq: Sequence number of the last change.
        replaced: Number of claims that replace an earlier claim.
    """

    def __init__(self, seq: int, record_of: Callable[[str], Item | None], operation_count: int) -> None:
        """Start without changes.

        Args:
            seq: The last sequence number that the head has assigned.
            record_of: Returns the record of an operation at the head.
            operation_count: The number of records at the head.
        """
        self._record_of, self._operation_count = record_of, operation_count
        self._floor: Item | None = None
        self._records: dict[str, Item] = {}
        self.seq = seq
        self.replaced = 0

    @property
    def items(self) -> list[Item]:
        """The changes, in the order of their sequence numbers."""
        records = list(self._records.values())
        return records if self._floor is None else [self._floor, *records]

    def raise_floor(self, floor: int) -> None:
        """Delete the records up to this sequence number before any claim is decided."""
        self.seq += 1
        self._floor = floor_item(floor, self.seq)

    def decide(self, claim: Claim) -> ClaimDecision:
        """Decide a claim on top of the claims before it."""
        current = self._current_record(claim.operation)
        if current is None:
            if self._operation_count >= MAX_OPERATIONS:
                return ClaimDecision(ClaimStatus.FULL)
            self._operation_count += 1
            return self._record(claim, FIRST_VERSION)
        owner = owner_of(current)
        if owner == claim.owner:
            return ClaimDecision(ClaimStatus.GRANTED, recorded_seq=current.seq)
        if owner == claim.replaces:
            self.replaced += 1
            return self._record(claim, current.version + 1)
        return ClaimDecision(ClaimStatus.OWNED, owner)

    def _current_record(self, operation: str) -> Item | None:
        record = self._records.get(operation) or self._record_of(operation)
        is_deleted = record is not None and self._floor is not None and record.seq <= self._floor.version
        return None if is_deleted else record

    def _record(self, claim: Claim, version: int) -> ClaimDecision:
        self.seq += 1
        self._records.pop(claim.operation, None)  # removed and added again, so that it moves to the end
        self._records[claim.operation] = operation_item(claim.operation, version, self.seq, claim.owner)
        return ClaimDecision(ClaimStatus.GRANTED, recorded_seq=self.seq)
