"""Chain replication: one member's part. No I/O.

The head numbers the changes. Each member has a change on its own disk before it sends it to its successor, so a change
that the tail has on its disk is committed. A reply travels back from the tail to the head. (van Renesse and Schneider,
"Chain Replication for Supporting High Throughput and Availability", OSDI 2004.)
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
    """The parts of the store that act on the progress of replication."""

    def on_commit(self) -> None:
        """More changes may be committed."""

    def on_writable(self) -> None:
        """`Chain.may_append` may have become true."""

    def on_learner_synced(self) -> None:
        """The learner behind this tail has everything that the tail has."""


class Chain:
    """Replication at one member.

    Attributes:
        successor: The link to the next member, or from the tail to a learner.
        predecessor: The link from the member before this one.
        pending_saves: Saves of items that are not on this disk yet.
    """

    def __init__(self, replica: Replica, observer: ChainObserver) -> None:
        self._replica, self._environment, self._observer = replica, replica.environment, observer
        self._waiters = CommitWaiters()
        self.pending_saves = 0
        self.successor = SuccessorLink(replica, self)
        self.predecessor = PredecessorLink(replica, self)
        replica.view_listeners.append(self._on_view)

    def start(self) -> None:
        """Begin to replicate."""
        self.successor.start()

    # State

    @property
    def committed(self) -> int | None:
        """Sequence number up to which all members have everything. None: not known.

        The tail waits for no learner, and a learner for nobody.
        """
        replica = self._replica
        if not replica.complete:
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
        """Whether this member is the head and may give out the next sequence number.

        It then has everything that was acknowledged, since its successor has no more than it has. What is being saved,
        perhaps since an earlier view, must be on disk first.
        """
        replica = self._replica
        if not replica.is_head or not replica.complete or self.pending_saves:
            return False
        return replica.is_tail or self.successor.is_confirmed

    @property
    def repairs(self) -> list[str]:
        """What was found to differ at the successor and was repaired, the latest last, for operators."""
        return self.successor.repairs

    # Requests of other parts

    def replicate(self, items: list[Item], seq: int, callback: CommitCallback) -> None:
        """Save the head's own changes, apply them and send them to the successor.

        Args:
            items: The changes, in the order of their sequence numbers.
            seq: The sequence number of the last of them.
            callback: Called once: with True when all members have the changes, with False if that cannot be known.
        """
        view_number, state = self._replica.view.number, self._replica.state
        floor = state.tombstone_floor_after(items)

        def on_disk() -> None:
            state.apply(items, seq, floor)
            # What is on this disk is part of the state, also where the view has changed meanwhile.
            self.successor.advance()
            if view_number != self._replica.view.number:
                callback(False)
                return
            self.wait_for_commit(seq, callback)
            self.complete_waiters()

        self.save_changes(items, (), facts.sequence(seq), floor, on_disk)

    def wait_for_commit(self, seq: int, callback: CommitCallback) -> None:
        """Call back, with True, once all members have everything up to `seq` on disk; with False at a new view."""
        committed = self.committed
        if committed is not None and committed >= seq:
            callback(True)
            return
        self._waiters.add(seq, callback)

    def resync(self, address: str, view_number: int, synced: bool) -> None:
        """Start replication to the successor anew if that machine says that it is not synced."""
        self.successor.resync(address, view_number, synced)

    def sync_learner(self, learner: Member | None) -> None:
        """Choose, at the tail, the learner to send everything to from now on. No commit waits for it."""
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

    # The interface for the two links

    def save_changes(
        self, items: Iterable[Item], ranges: Iterable[int], changed_facts: facts.Facts, tombstone_floor: int, done: Done
    ) -> None:
        """Write items and facts to disk together; `done` is called when they are there.

        Args:
            items: The items to write.
            ranges: Ranges of names in which all other items are deleted.
            changed_facts: The facts to write. The tombstone floor is added to them if it has changed.
            tombstone_floor: Tombstones up to this sequence number are deleted.
            done: Called in the event loop.
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
        """Send the successor what it lacks."""
        self.successor.advance()

    def complete_waiters(self) -> None:
        """Call back those that wait for what is committed by now."""
        self._waiters.complete(self.committed)
        self._observer.on_commit()

    def on_successor_acknowledged(self) -> None:
        """Take note that more changes may be committed."""
        self.complete_waiters()

    def on_successor_confirmed(self) -> None:
        """Let the head append."""
        self._observer.on_writable()

    def on_learner_synced(self) -> None:
        """Pass the event on to the observer."""
        self._observer.on_learner_synced()
