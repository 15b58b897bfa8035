"""Chain replication at one member. No I/O.

The head assigns sequence numbers to changes. Each member writes a change to its own disk before sending it to its
successor, so a change on the tail's disk is committed. The acknowledgement travels back from the tail to the head.
(van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004.)
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lilacsill.mesh.runtime.messages import Item, Member

from . import facts
from .commit_waiters import CommitCallback, CommitWaiters
from .environment import Done, Save
from .predecessor import PredecessorLink
from .replica import Replica
from .successor import SuccessorLink


class ChainObserver(Protocol):
    """The parts of the store that react to the progress of replication."""

    def on_commit(self) -> None:
        """Called when more changes may be committed."""

    def on_writable(self) -> None:
        """Called when `Chain.may_append` may have become true."""

    def on_learner_synced(self) -> None:
        """Called when the learner behind this tail has everything that the tail has."""


class Chain:
    """The replication state of one member, and its links to both neighbours.

    Attributes:
        successor: The link to the next member of the chain, or, at the tail, to a learner.
        predecessor: The link from the previous member of the chain.
        pending_saves: The number of saves of items that are not on this disk yet.
    """

    def __init__(self, replica: Replica, observer: ChainObserver) -> None:
        self._replica, self._environment, self._observer = replica, replica.environment, observer
        self._waiters = CommitWaiters()
        self.pending_saves = 0
        self.successor = SuccessorLink(replica, self)
        self.predecessor = PredecessorLink(replica, self)
        replica.view_listeners.append(self._on_view)
        replica.view_saved_listeners.append(self.complete_waiters)

    def start(self) -> None:
        """Begin to replicate."""
        self.successor.start()

    # State

    @property
    def committed(self) -> int | None:
        """Sequence number up to which all members of the chain have all changes on disk; None if unknown.

        The tail does not wait for a learner, and a learner does not wait for any machine.
        """
        replica = self._replica
        if not replica.complete or not replica.is_view_saved:
            return None
        if replica.is_tail or not replica.in_chain:
            return replica.state.seq
        acked_seq = self.successor.acked_seq
        return None if acked_seq is None else min(acked_seq, replica.state.seq)

    @property
    def synced(self) -> bool:
        """Whether this copy is complete and, unless it is the head, was brought up to date in this view."""
        return self.committed is not None and self._replica.is_up_to_date

    @property
    def may_append(self) -> bool:
        """Whether this member is the head and may assign the next sequence number.

        The head must have every acknowledged change. Therefore its copy must be complete, and its successor, if any,
        must have shown in this view that it does not have a complete copy that is ahead of the head's.
        All pending saves, even those from an earlier view, must be on disk first. The chain must be long enough.
        """
        replica = self._replica
        if not replica.is_head or not replica.complete or self.pending_saves or replica.has_too_few_copies:
            return False
        return replica.is_tail or self.successor.is_confirmed

    @property
    def repairs(self) -> list[str]:
        """Descriptions of the latest repairs of successors, newest last, for operators."""
        return self.successor.repairs

    # Requests from other parts

    def replicate(self, items: list[Item], seq: int, callback: CommitCallback) -> None:
        """Save new changes at the head, apply them and send them to the successor.

        Args:
            items: The changes, in the order of their sequence numbers.
            seq: The sequence number of the last of them.
            callback: Called once: with True when all members have the changes, with False if that is unknown.
        """
        view_number, state = self._replica.view.number, self._replica.state
        floor = state.tombstone_floor_after(items)

        def on_disk() -> None:
            state.apply(items, seq, floor)
            # Changes on this disk are part of the state even if the view has changed meanwhile.
            self.successor.advance()
            if view_number != self._replica.view.number:
                callback(False)
                return
            self.wait_for_commit(seq, callback)
            self.complete_waiters()

        self.save_changes(items, (), facts.sequence(seq), floor, on_disk)

    def wait_for_commit(self, seq: int, callback: CommitCallback) -> None:
        """Call back with True when all members have all changes up to `seq` on disk, or with False at a new view."""
        committed = self.committed
        if committed is not None and committed >= seq:
            callback(True)
            return
        self._waiters.add(seq, callback)

    def resync(self, address: str, view_number: int, synced: bool) -> None:
        """Restart replication to the successor if it is the machine at `address` and reported that it is not synced."""
        self.successor.resync(address, view_number, synced)

    def sync_learner(self, learner: Member | None) -> None:
        """Set the learner that the tail sends all changes to; None: no learner. Commits do not wait for it."""
        if learner == self._replica.learner:
            return
        self._replica.learner = learner
        self.successor.reset()
        self.successor.advance()

    def _on_view(self) -> None:
        self._replica.in_sync = False
        self.successor.reset_for_view()
        self._waiters.fail_all()
        self.successor.advance()

    # Interface for the two links

    def save_changes(
        self, items: Iterable[Item], ranges: Iterable[int], changed_facts: facts.Facts, tombstone_floor: int, done: Done
    ) -> None:
        """Write items and facts to disk atomically.

        Args:
            items: The items to write.
            ranges: Ranges of names in which all other items are deleted.
            changed_facts: The facts to write; the tombstone floor is added to them if it has changed.
            tombstone_floor: Tombstones up to this sequence number are deleted.
            done: Called in the event loop once everything is on disk.
        """
        save = Save(items, ranges, changed_facts)
        if tombstone_floor != self._replica.state.tombstone_floor:
            save.facts = {**changed_facts, **facts.tombstone_floor(tombstone_floor)}
            save.tombstone_floor = tombstone_floor
        self._save(save, done)

    def _save(self, save: Save, done: Done) -> None:
        def on_saved() -> None:
            self.pending_saves -= 1
            done()
            self._observer.on_writable()

        self.pending_saves += 1
        self._environment.save(save, on_saved)

    def advance_successor(self) -> None:
        """Send the successor the changes that it lacks."""
        self.successor.advance()

    def complete_waiters(self) -> None:
        """Call back the waiters whose changes are committed, and notify the observer."""
        self._waiters.complete(self.committed)
        self._observer.on_commit()

    def on_successor_acknowledged(self) -> None:
        """Complete the waiters whose changes this acknowledgement has committed."""
        self.complete_waiters()

    def on_successor_confirmed(self) -> None:
        """Notify the observer that the head may append."""
        self._observer.on_writable()

    def on_learner_synced(self) -> None:
        """Notify the observer."""
        self._observer.on_learner_synced()
