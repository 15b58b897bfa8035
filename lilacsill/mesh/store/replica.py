"""One machine of the chain: the state that its components share, and the adoption of views. No I/O.

An acknowledged change is on the disks of all members of its view. The head of each later view is a complete member of
the previous view, so the head has every acknowledged change. Messages of an older view are rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Departure, Item, Member, Message, View

from . import facts
from .cluster_state import required_copies
from .environment import ReplicaEnvironment, Save, ignore_completion
from .paxos import Acceptor
from .state import ConfigState

NO_VIEW = View(-1, ())  # the view of a machine that has not learned of any view yet


class Replica:
    """The replicated state of this machine and its role in the chain.

    Attributes:
        environment: The clock, timers, peers and disk.
        me: This machine, with the incarnation of its disk.
        view: The latest view that this machine has adopted.
        complete: Whether the state is a prefix of the changes of this view. Otherwise the predecessor must repair it.
        intact: Whether the copy is as it was when it was last complete, or newer; not partly overwritten by a repair.
        is_view_saved: Whether the view is on disk, so that this machine will still know after a loss of power that it
            was complete in it. Nothing is committed before.
        in_sync: Whether the predecessor has brought this copy up to date in this view.
        state: The items on this disk.
        acceptor: The Paxos acceptor with this machine's vote on the next view.
        departure: Whether this machine requests its removal from the chain, and why.
        learner: The machine that this member, if it is the tail, brings up to date.
        view_listeners: Called in order after each adoption of a view.
        view_saved_listeners: Called in order once an adopted view is on disk.
    """

    def __init__(
        self,
        environment: ReplicaEnvironment,
        stored: facts.StoredReplica,
        items: Iterable[Item],
        min_copies: int = 1,
    ) -> None:
        """Restore a replica from its disk.

        Args:
            environment: The clock, timers, peers and disk.
            stored: The facts on the disk.
            items: The items on the disk.
            min_copies: The number of machines that must have a change before it is acknowledged.
        """
        self.environment, self.me, self.view = environment, stored.member, stored.view
        self.complete, self.intact = stored.complete, stored.intact
        self._last_complete_view = stored.complete_view
        self.is_view_saved = True
        self.in_sync = False
        self.state = ConfigState()
        self.state.apply(items, stored.seq, stored.tombstone_floor)
        self.acceptor = Acceptor(self.me, stored.acceptor_state, self)
        self.departure = Departure.NONE
        self.learner: Member | None = None
        self.view_listeners: list[Callable[[], None]] = []
        self.view_saved_listeners: list[Callable[[], None]] = []
        self._min_copies = min_copies

    # Role in the view

    @property
    def is_member(self) -> bool:
        """Whether this machine votes on the next view."""
        return self.me in self.view.members

    @property
    def in_chain(self) -> bool:
        """Whether this machine replicates as a member: it is neither a learner nor suspended."""
        return self.me in self.view.chain

    @property
    def position(self) -> int:
        """Index in the chain; 0 for the head."""
        return self.view.chain.index(self.me)

    @property
    def is_head(self) -> bool:
        """Whether this machine is first in the chain and assigns the sequence numbers."""
        return self.in_chain and self.view.chain[0] == self.me

    @property
    def is_tail(self) -> bool:
        """Whether this machine is last in the chain."""
        return self.in_chain and self.view.chain[-1] == self.me

    @property
    def successor(self) -> Member | None:
        """The next member of the chain; for the tail, the learner that it brings up to date."""
        if not self.in_chain:
            return None
        if self.is_tail:
            return self.learner
        return self.view.chain[self.position + 1]

    @property
    def is_up_to_date(self) -> bool:
        """Whether this copy is complete and, unless it is the head, was brought up to date in this view."""
        return self.complete and (self.is_head or self.in_sync)

    @property
    def has_too_few_copies(self) -> bool:
        """Whether the chain of the view is too short for the tolerated losses, so that nothing is committed in it."""
        return len(self.view.chain) < required_copies(self.view, self._min_copies)

    @property
    def view_pending(self) -> bool:
        """Whether this machine has accepted the next view, which may already be in force."""
        return self.acceptor.has_accepted_next(self.view)

    @property
    def complete_view(self) -> int | None:
        """The number of the latest view in which this machine was a complete member of the chain, as its disk shows.

        -1: none. None: not known, since an earlier version wrote the disk.
        """
        if self.complete and self.in_chain and self.is_view_saved:
            return self.view.number
        return self._last_complete_view

    # The disk

    def begin_repair(self) -> facts.Facts:
        """Mark this copy as incomplete because a part of it is about to be overwritten. Return the facts to save."""
        self._last_complete_view = self.complete_view
        self.complete = self.intact = False
        return self._completeness_facts()

    def end_repair(self, is_finished: bool) -> None:
        """Record whether the chunk of a repair or the changes that are on disk now complete this copy."""
        self.complete = self.in_sync = is_finished
        self.intact = self.intact or is_finished

    def mark_outdated(self) -> None:
        """Mark this copy as incomplete: it lacks acknowledged changes, so it must not lead and must be repaired."""
        log.warning(
            "the copy of %s (seq %d) is older than its successor's in view %d; marked incomplete until repaired",
            self.me.address,
            self.state.seq,
            self.view.number,
        )
        self.environment.save(Save(facts=self.begin_repair()), ignore_completion)

    def persist(self, name: str, value: bytes, done: Callable[[], None]) -> None:
        """Write one fact to disk."""
        self.environment.save(Save(facts={name: value}), done)

    def view_facts(self) -> facts.Facts:
        """Return the stored facts that change when a view is adopted."""
        return {**facts.view(self.view), **self._completeness_facts()}

    def _completeness_facts(self) -> facts.Facts:
        last = facts.last_completeness(self._last_complete_view, self.intact)
        return {**facts.completeness(self.complete), **last}

    # Views

    def adopt(self, view: View) -> bool:
        """Adopt a chosen view if it is newer than the current one, and return whether it is."""
        if view.number <= self.view.number:
            return False
        log.info("%s adopts view %d: %s", self.me.address, view.number, view)
        before, was_in_chain = self.view, self.in_chain
        self._last_complete_view = self.complete_view
        self.view, self.learner, self.in_sync, self.is_view_saved = view, None, False, False
        self.complete = self._is_recovered() or (self.complete and self._stays_complete(before, was_in_chain))
        # Saved separately from items, because a save of items may be pending.
        self.environment.save(Save(facts=self.view_facts()), partial(self._on_view_saved, view.number))
        for callback in self.view_listeners:
            callback()
        return True

    def _on_view_saved(self, number: int) -> None:
        if number != self.view.number:
            return
        self.is_view_saved = True
        for callback in self.view_saved_listeners:
            callback()

    def _is_recovered(self) -> bool:
        """Return whether this machine was chosen as the head for its copy of an earlier view (`recovery`)."""
        if not self.is_head or not self.intact or not self.view.history or self._last_complete_view is None:
            return False
        return self._last_complete_view >= self.view.history[0].number

    def _stays_complete(self, before: View, was_in_chain: bool) -> bool:
        """Return whether a copy that was complete in the previous view is still complete in the current view."""
        if not self.in_chain:
            return False  # a learner is compared again in each view
        if self.is_head:
            # The proposer knew this machine as synced. If its disk has lost the last writes, its successor reports it.
            return True
        # A member that missed a view, or that preceded a member that now precedes it, may hold changes that were never
        # acknowledged. A learner that becomes a member may lack changes that were acknowledged without it.
        if not was_in_chain or self.view.number != before.number + 1:
            return False
        predecessors_before = set(before.chain[: before.chain.index(self.me)])
        return predecessors_before.issuperset(self.view.chain[: self.position])

    def adopt_from(self, message: Message | None) -> None:
        """Adopt the view that a message carries, if any. A view without its history must come in another message."""
        view = getattr(message, "view", None)
        if isinstance(view, View) and view.history is not None:
            self.adopt(view)
