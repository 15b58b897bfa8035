"""Handling of claims on operations: the head of the chain records which proxy may run an operation. No I/O.

A claim is granted when its record is on the disks of all members of the chain, provided that the chain has enough
members. Claims that arrive while the head cannot append are queued and appended together, each with its own record. A
member that is not the head, or that does not know the outcome, replies with UNKNOWN and the members of the chain. A
claim may be retried unchanged.
"""

from __future__ import annotations

from functools import partial

import msgspec

from lilacsill.mesh.runtime.messages import Claim, ClaimReply, ClaimStatus, OperationOwner
from lilacsill.timers import Timer

from .chain import Chain
from .claim_batch import ClaimBatch, ClaimDecision
from .commit_check import CommitCheck
from .operation_retention import NO_FLOOR, OperationRetention
from .replica import Replica
from .replies import Replier

CLAIM_TIMEOUT_US = 800_000  # the same as for operators' calls
MAX_WAITING_CLAIMS = 4096  # about ten seconds of claims at 400 per second; claims beyond this are answered with UNKNOWN
CHECKPOINT_INTERVAL_US = 5_000_000


def _zero_counts() -> dict[ClaimStatus, int]:
    return dict.fromkeys(ClaimStatus, 0)


class ClaimCounts(msgspec.Struct):
    """The claims that this member has handled since the process started.

    Attributes:
        answered: Claims that were answered, by outcome.
        replaced: Claims that replaced an earlier claim.
    """

    answered: dict[ClaimStatus, int] = msgspec.field(default_factory=_zero_counts)
    replaced: int = 0

    def by_outcome(self) -> dict[str, int]:
        """Return the number of answered claims by the name of the outcome."""
        return {status.name.lower(): count for status, count in self.answered.items()}


class _PendingClaim:
    """A claim that has not been answered."""

    def __init__(self, claim: Claim, reply: Replier) -> None:
        self.claim, self._reply = claim, reply
        self.timer: Timer | None = None
        self.is_answered = False

    def answer(self, message: ClaimReply) -> None:
        self.is_answered = True
        if self.timer is not None:
            self.timer.cancel()
        self._reply(message)


class OperationClaims:
    """The claims that are sent to one member.

    Attributes:
        counts: The counts of handled claims, for operators.
    """

    def __init__(self, replica: Replica, chain: Chain, commit_check: CommitCheck, key_window_us: int) -> None:
        self._replica, self._environment, self._chain = replica, replica.environment, chain
        self._commit_check = commit_check
        self._retention = OperationRetention(key_window_us)
        self._waiting: list[_PendingClaim] = []
        self._pending_floor = NO_FLOOR  # the next batch deletes records up to this sequence number
        # The number of the last adopted view if this member is its head, else None.
        self._last_head_view = replica.view.number if replica.is_head else None
        self.counts = ClaimCounts()
        replica.view_listeners.append(self._on_view)

    def start(self) -> None:
        """Start the periodic deletion of old records, which takes effect while this member is the head."""
        self._check_retention()

    # Claims

    def handle_claim(self, claim: Claim, reply: Replier) -> None:
        """Decide a claim at the head; at other members reply with the members of the chain."""
        pending = _PendingClaim(claim, reply)
        is_head = self._replica.is_head and self._replica.complete
        if not is_head or len(self._waiting) >= MAX_WAITING_CLAIMS:
            self._answer(pending, ClaimStatus.UNKNOWN)
            return
        pending.timer = self._environment.after(CLAIM_TIMEOUT_US, self._answer, pending, ClaimStatus.UNKNOWN)
        self._waiting.append(pending)
        self.append_waiting_claims()

    def append_waiting_claims(self) -> None:
        """Decide all queued claims in order, each on top of those before it, and replicate their records together."""
        if not self._chain.may_append:
            return
        # A claim that has already been answered (after a timeout) is not recorded: its proxy may have declared that it
        # will never run the operation.
        claims = [pending for pending in self._waiting if not pending.is_answered]
        self._waiting = []
        floor, self._pending_floor = self._pending_floor, NO_FLOOR
        if claims or floor:
            self._append(claims, floor)

    def _append(self, claims: list[_PendingClaim], floor: int) -> None:
        state = self._replica.state
        first_seq = state.seq
        batch = ClaimBatch(first_seq, state.operation, state.operation_count)
        if floor:
            batch.raise_floor(floor)
        decisions = [(pending, batch.decide(pending.claim)) for pending in claims]
        self.counts.replaced += batch.replaced
        appended = [pending for pending, decision in decisions if decision.recorded_seq > first_seq]
        if batch.items:
            on_commit = partial(self._on_appended, appended)
            self._chain.replicate(batch.items, batch.seq, on_commit)
        for pending, decision in decisions:
            if decision.recorded_seq <= first_seq:
                self._answer_without_append(pending, decision)

    def _on_appended(self, claims: list[_PendingClaim], is_on_chain: bool) -> None:
        self._commit_check.check_copies(is_on_chain, False, partial(self._grant, claims))

    def _answer_without_append(self, pending: _PendingClaim, decision: ClaimDecision) -> None:
        """Answer a claim for which no record is appended."""
        if decision.status is not ClaimStatus.GRANTED:
            self._answer(pending, decision.status, decision.owner)
            return

        # The record existed before: it may be uncommitted, and it may be from a head that has since been replaced.
        def on_commit(is_on_chain: bool) -> None:
            self._commit_check.check_copies(is_on_chain, True, partial(self._grant, [pending]))

        self._chain.wait_for_commit(decision.recorded_seq, on_commit)

    def _grant(self, claims: list[_PendingClaim], may_grant: bool) -> None:
        for pending in claims:
            self._answer(pending, ClaimStatus.GRANTED if may_grant else ClaimStatus.UNKNOWN)

    def _answer(self, pending: _PendingClaim, status: ClaimStatus, owner: OperationOwner | None = None) -> None:
        if pending.is_answered:
            return
        self.counts.answered[status] += 1
        view = self._replica.view
        members = [member.address for member in view.chain]
        pending.answer(ClaimReply(status, owner, view.number, members))

    # Retention

    def _check_retention(self) -> None:
        self._environment.after(CHECKPOINT_INTERVAL_US, self._check_retention)
        replica = self._replica
        if not replica.is_head or not replica.complete:
            self._retention.clear()
            return
        now = self._environment.now()
        self._retention.record(now, replica.state.seq)
        oldest_seq = replica.state.oldest_operation_seq()
        floor = self._retention.floor(now)
        self._pending_floor = floor if oldest_seq is not None and oldest_seq <= floor else NO_FLOOR
        self.append_waiting_claims()

    # Views

    def _on_view(self) -> None:
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            self._answer(pending, ClaimStatus.UNKNOWN)
        self._pending_floor = NO_FLOOR
        number = self._replica.view.number
        if not self._replica.is_head or self._last_head_view != number - 1:
            self._retention.clear()  # another head may have assigned the sequence numbers since
        self._last_head_view = number if self._replica.is_head else None
