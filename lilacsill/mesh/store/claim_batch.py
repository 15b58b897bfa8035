"""Decide claims on operations, one on top of the other. No I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lilacsill.mesh.runtime.messages import Claim, ClaimStatus, Item, OperationOwner

from .operation_records import FIRST_VERSION, floor_item, operation_item, owner_of

MAX_OPERATIONS = 100_000  # records at one time: of 300 claims a second within five minutes


class ClaimDecision(msgspec.Struct, frozen=True):
    """What becomes of a claim.

    Attributes:
        status: GRANTED counts once the record is committed; OWNED and FULL count at once.
        owner: With OWNED: the claim that came first.
        recorded_seq: With GRANTED: the sequence number of the record.
    """

    status: ClaimStatus
    owner: OperationOwner | None = None
    recorded_seq: int = 0


class ClaimBatch:
    """Changes for claims that are decided together.

    Attributes:
        seq: Sequence number of the last change.
        replaced: How many of the claims take the place of another one.
    """

    def __init__(self, seq: int, record_of: Callable[[str], Item | None], operation_count: int) -> None:
        """Begin with no changes.

        Args:
            seq: The sequence number that the head has reached.
            record_of: Returns the record of an operation at the head.
            operation_count: How many records there are.
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
        """Delete, before the claims, the records up to this sequence number."""
        self.seq += 1
        self._floor = floor_item(floor, self.seq)

    def decide(self, claim: Claim) -> ClaimDecision:
        """Decide a claim on top of those before it."""
        present = self._present(claim.operation)
        if present is None:
            if self._operation_count >= MAX_OPERATIONS:
                return ClaimDecision(ClaimStatus.FULL)
            self._operation_count += 1
            return self._record(claim, FIRST_VERSION)
        owner = owner_of(present)
        if owner == claim.owner:
            return ClaimDecision(ClaimStatus.GRANTED, recorded_seq=present.seq)
        if owner == claim.replaces:
            self.replaced += 1
            return self._record(claim, present.version + 1)
        return ClaimDecision(ClaimStatus.OWNED, owner)

    def _present(self, operation: str) -> Item | None:
        record = self._records.get(operation) or self._record_of(operation)
        is_deleted = record is not None and self._floor is not None and record.seq <= self._floor.version
        return None if is_deleted else record

    def _record(self, claim: Claim, version: int) -> ClaimDecision:
        self.seq += 1
        self._records.pop(claim.operation, None)  # so that it moves to the end
        self._records[claim.operation] = operation_item(claim.operation, version, self.seq, claim.owner)
        return ClaimDecision(ClaimStatus.GRANTED, recorded_seq=self.seq)
