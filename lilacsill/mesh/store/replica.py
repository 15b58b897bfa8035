"""One machine of the chain: the state that all its parts share, and the adoption of views. No I/O.

A change that was acknowledged is on the disks of all members of its view. Each later view begins with a member of the
view before it that has everything, so the head has every acknowledged change. Messages of an older view are rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Departure, Item, Member, Message, View

from . import facts
from .environment import ReplicaEnvironment, Save, ignore_completion
from .paxos import Acceptor
from .state import ConfigState

NO_VIEW = View(-1, ())  # of a machine that has not heard of a view yet


class Replica:
    """What this machine has on disk, and what it knows of its place in the chain.

    Attributes:
        environment: The clock, timers, peers and disk.
        me: This machine, with the incarnation of its disk.
        view: The newest view that this machine knows of.
        complete: Whether the state is a prefix of the changes of this view. If not, the predecessor must repair it.
        in_sync: Whether the predecessor has brought this copy up to date in this view.
        state: The items that are on this disk.
        acceptor: This machine's vote on the next view.
        departure: Whether this machine asks to be removed from the chain, and why.
        learner: The machine that this member, if it is the tail, brings up to date.
        view_listeners: Called in order after each adoption of a view.
    """

    def __init__(self, environment: ReplicaEnvironment, stored: facts.StoredReplica, items: Iterable[Item]) -> None:
        self.environment, self.me, self.view = environment, stored.member, stored.view
        self.complete = stored.complete
        self.in_sync = False
        self.state = ConfigState()
        self.state.apply(items, stored.seq, stored.tombstone_floor)
        self.acceptor = Acceptor(self.me, stored.acceptor_state, self)
        self.departure = Departure.NONE
        self.learner: Member | None = None
        self.view_listeners: list[Callable[[], None]] = []

    # The place in the view

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
        """Index in the chain; the head has 0."""
        return self.view.chain.index(self.me)

    @property
    def is_head(self) -> bool:
        """Whether this machine is the first of the chain, which numbers the changes."""
        return self.in_chain and self.view.chain[0] == self.me

    @property
    def is_tail(self) -> bool:
        """Whether this machine is the last of the chain."""
        return self.in_chain and self.view.chain[-1] == self.me

    @property
    def successor(self) -> Member | None:
        """The next member of the chain; behind the tail the learner that it brings up to date."""
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
    def view_pending(self) -> bool:
        """Whether this machine has voted for a next view, which may be in force already."""
        return self.acceptor.has_accepted_next(self.view)

    # The disk

    def mark_outdated(self) -> None:
        """Stop to lead: this copy is older than what was acknowledged, and must be repaired."""
        log.warning("this copy is older than its successor's")
        self.complete = False
        self.environment.save(Save(facts=self.view_facts()), ignore_completion)

    def persist(self, name: str, value: bytes, done: Callable[[], None]) -> None:
        """Write one fact to disk."""
        self.environment.save(Save(facts={name: value}), done)

    def view_facts(self) -> facts.Facts:
        """Return the facts that change with the view."""
        return {**facts.view(self.view), **facts.completeness(self.complete)}

    # Views

    def adopt(self, view: View) -> bool:
        """Adopt a view that was agreed on. Return whether it is newer than the present one."""
        if view.number <= self.view.number:
            return False
        log.info("view %d: %s", view.number, view)
        before, was_in_chain = self.view, self.in_chain
        self.view, self.learner, self.in_sync = view, None, False
        self.complete = self.complete and self._stays_complete(before, was_in_chain)
        # Separate from the saves of items, of which one may be pending.
        self.environment.save(Save(facts=self.view_facts()), ignore_completion)
        for callback in self.view_listeners:
            callback()
        return True

    def _stays_complete(self, before: View, was_in_chain: bool) -> bool:
        """Return whether a copy that was complete in the view before is so in the present view."""
        if not self.in_chain:
            return False  # a learner is compared anew in each view
        if self.is_head:
            # Whoever proposed it had it as synced; where the last writes of its disk are lost its successor reports it.
            return True
        # A member that missed a view, or was behind the members that are before it now, may hold changes that were
        # never acknowledged. A learner that becomes a member may lack changes that were acknowledged without it.
        if not was_in_chain or self.view.number != before.number + 1:
            return False
        predecessors_before = set(before.chain[: before.chain.index(self.me)])
        return predecessors_before.issuperset(self.view.chain[: self.position])

    def adopt_from(self, message: Message | None) -> None:
        """Adopt the view that a message carries, if it carries one."""
        view = getattr(message, "view", None)
        if isinstance(view, View):
            self.adopt(view)
