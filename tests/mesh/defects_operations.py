"""Planted defects of the store's record of operations: each takes one guard away."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from lilacsill.mesh.runtime.messages import Claim, Item, OperationOwner
from lilacsill.mesh.simulation import network
from lilacsill.mesh.store import operation_retention
from lilacsill.mesh.store.claim_batch import ClaimBatch
from lilacsill.mesh.store.commit_check import CommitCheck
from lilacsill.mesh.store.operation_claims import OperationClaims, _PendingClaim
from lilacsill.mesh.store.operation_retention import OperationRetention
from lilacsill.mesh.store.operation_records import operation_item
from lilacsill.mesh.store.state import ConfigState

Patch = pytest.MonkeyPatch


def claims_are_granted_before_they_are_committed(patch: Patch) -> None:
    def append(self: OperationClaims, claims: list[_PendingClaim], floor: int) -> None:
        real(self, claims, floor)
        state = self._replica.state
        self._grant([pending for pending in claims if state.operation(pending.claim.operation) is None], True)

    real = OperationClaims._append
    patch.setattr(OperationClaims, "_append", append)


def every_member_grants(patch: Patch) -> None:
    def handle_claim(self: OperationClaims, claim: Claim, reply: Callable[[Any], None]) -> None:
        if self._replica.is_head or self._replica.state.operation(claim.operation) is not None:
            real(self, claim, reply)
            return
        state, pending = self._replica.state, _PendingClaim(claim, reply)
        record = operation_item(claim.operation, 1, state.seq + 1, claim.owner)
        self._chain.save_changes([record], (), {}, state.tombstone_floor, partial(self._grant, [pending], True))

    real = OperationClaims.handle_claim
    patch.setattr(OperationClaims, "handle_claim", handle_claim)


def copies_are_not_counted(patch: Patch) -> None:
    patch.setattr(CommitCheck, "check_copies", lambda self, is_on_chain, confirm, done: done(is_on_chain))


def repeats_are_granted_without_a_majority(patch: Patch) -> None:
    patch.setattr(CommitCheck, "confirm", lambda self, done: done(True))


def any_owner_is_replaced(patch: Patch) -> None:
    def decide(self: ClaimBatch, claim: Claim) -> Any:
        current = self._current_record(claim.operation)
        if current is not None and claim.replaces is not None:
            return self._record(claim, current.version + 1)
        return real(self, claim)

    real = ClaimBatch.decide
    patch.setattr(ClaimBatch, "decide", decide)


def no_owner_is_replaced(patch: Patch) -> None:
    nobody = OperationOwner("", 0, 0)

    def decide(self: ClaimBatch, claim: Claim) -> Any:
        return real(self, Claim(claim.operation, claim.owner, nobody))

    real = ClaimBatch.decide
    patch.setattr(ClaimBatch, "decide", decide)


def the_time_of_a_former_head_counts(patch: Patch) -> None:
    def record(self: OperationRetention, now_us: int, seq: int) -> None:
        real(self, now_us if self._checkpoints else now_us - self._retention_us, seq)

    real = OperationRetention.record
    patch.setattr(OperationRetention, "record", record)


def records_are_deleted_early(patch: Patch) -> None:
    patch.setattr(operation_retention, "MARGIN_US", -40_000_000)


def records_are_never_deleted(patch: Patch) -> None:
    patch.setattr(OperationRetention, "floor", lambda self, now_us: operation_retention.NO_FLOOR)


def records_stay_on_disk(patch: Patch) -> None:
    patch.setattr(network, "highest_floor", lambda items: 0)


def each_view_begins_the_window_anew(patch: Patch) -> None:
    def on_view(self: OperationClaims) -> None:
        self._last_head_view = None
        real(self)

    real = OperationClaims._on_view
    patch.setattr(OperationClaims, "_on_view", on_view)


def repairs_leave_operations_out(patch: Patch) -> None:
    def items_in_range(self: ConfigState, number: int) -> list[Item]:
        return [item for item in real(self, number) if item.kind != "operation"]

    real = ConfigState.items_in_range
    patch.setattr(ConfigState, "items_in_range", items_in_range)


def followers_are_woken_by_operations(patch: Patch) -> None:
    patch.setattr(ConfigState, "config_seq", property(lambda self: self.seq))


def followers_get_operations(patch: Patch) -> None:
    patch.setattr(ConfigState, "config_items_since", ConfigState.items_since)


def the_first_claim_of_a_batch_is_not_seen(patch: Patch) -> None:
    patch.setattr(ClaimBatch, "_current_record", lambda self, operation: self._record_of(operation))
