"""Replication from the predecessor in the chain: the receiving side. No I/O.

A message is acknowledged once its items are on the disk of this machine and of all members behind it in the chain.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from lilacsill.mesh.runtime.messages import Item, Message, Replicate, ReplicateReply, Summary, SummaryRequest

from . import facts
from .commit_waiters import CommitCallback
from .environment import Done
from .replica import Replica

Replier = Callable[[Message], None]
REJECTED = ReplicateReply(False, 0)


class ReceivingChain(Protocol):
    """The methods of the chain that the link from the predecessor uses."""

    def save_changes(
        self, items: Iterable[Item], ranges: Iterable[int], changed_facts: facts.Facts, tombstone_floor: int, done: Done
    ) -> None:
        """Write items and facts to disk atomically."""

    def advance_successor(self) -> None:
        """Send the successor the changes that it lacks."""

    def wait_for_commit(self, seq: int, callback: CommitCallback) -> None:
        """Call back with True once the sequence number is committed, or with False at a new view."""

    def complete_waiters(self) -> None:
        """Run the callbacks that wait for sequence numbers that are now committed."""


class PredecessorLink:
    """The link from the predecessor of one member in the current view."""

    def __init__(self, replica: Replica, chain: ReceivingChain) -> None:
        self._replica, self._chain = replica, chain

    def _matches_own_role(self, request: SummaryRequest | Replicate) -> bool:
        """Return whether the request is for the current view and for the role that this machine has in it.

        A machine that has lost its disk is a learner. If it accepted requests for its former position in the chain, it
        would acknowledge changes alone, without waiting for the members behind it, which may lack them.
        """
        replica = self._replica
        is_of_view = request.view_number == replica.view.number
        return is_of_view and request.to_learner is not replica.in_chain and not replica.is_head

    def handle_summary_request(self, request: SummaryRequest, reply: Replier) -> None:
        """Reply to the predecessor with a summary of this copy."""
        if not self._matches_own_role(request):
            reply(REJECTED)
            return
        state = self._replica.state
        reply(Summary(self._replica.complete, state.seq, list(state.digests)))

    def handle_replicate(self, request: Replicate, reply: Replier) -> None:
        """Save a batch of changes or a chunk of a repair, and acknowledge it."""
        replica = self._replica
        if not self._matches_own_role(request) or not (replica.complete or request.is_repair):
            reply(REJECTED)
            return
        if request.last:
            changed_facts = {**facts.completeness(True), **facts.intactness(True), **facts.sequence(request.seq)}
            floor = request.tombstone_floor
        else:
            # Set immediately, not only after the chunk is on disk, because a view that is adopted in the meantime must
            # take the incomplete copy into account.
            changed_facts = replica.begin_repair()
            floor = replica.state.tombstone_floor
        self._chain.save_changes(
            request.items, request.ranges, changed_facts, floor, lambda: self._on_saved(request, reply)
        )

    def _on_saved(self, request: Replicate, reply: Replier) -> None:
        replica = self._replica
        if request.is_repair:
            seq = request.seq if request.last else None
            replica.state.replace_ranges(request.ranges, request.items, seq, request.tombstone_floor)
        else:
            replica.state.apply(request.items, request.seq, request.tombstone_floor)
        if request.view_number != replica.view.number:
            self._chain.advance_successor()  # the saved changes are part of the state in the next view as well
            reply(REJECTED)
            return
        replica.end_repair(request.last)
        if not request.last:
            reply(ReplicateReply(True, 0))
            return
        self._chain.advance_successor()
        self._chain.wait_for_commit(request.seq, lambda ok: reply(ReplicateReply(ok, request.seq)))
        self._chain.complete_waiters()
