"""One machine of the chain: the state that all its parts share, and the adoption of views.

What is acknowledged is on the disks of all members of the view in which it was; a later view begins with a member of
the one before, in the same order, so its head has all of it. Messages of an older view are refused. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Departure, Item, Member, Message, View

from .environment import Environment, Save
from .paxos import Acceptor, AcceptorState
from .state import ConfigState

NO_VIEW = View(-1, ())


class Replica:
    """What is on disk, and what is believed of the others."""

    def __init__(
        self,
        environment: Environment,
        me: Member,
        view: View,
        whole: bool,
        acceptor_state: AcceptorState,
        items: Iterable[Item],
        seq: int,
        floor: int = 0,
    ) -> None:
        self.environment, self.me, self.view = environment, me, view
        self.complete = whole  # the state is a prefix of this view's; else it must be filled by the member before
        self.state = ConfigState()  # as it is on this disk
        self.state.apply(items, seq, floor)
        self.acceptor = Acceptor(me, acceptor_state, self)
        self.departure = Departure.NONE
        self.learner: Member | None = None  # the tail's: whom it fills
        self.on_view: list[Callable[[], None]] = []
        self.entered_at = environment.now()  # when this view was adopted in this life
        self.known: dict[str, int] = {}  # addresses of other machines of the store: when last heard of

    # Who is who

    @property
    def is_member(self) -> bool:
        """It votes."""
        return self.me in self.view.members

    @property
    def in_chain(self) -> bool:
        return self.me in self.view.chain

    @property
    def position(self) -> int:
        """Place in the chain."""
        return self.view.chain.index(self.me)

    @property
    def is_head(self) -> bool:
        return self.in_chain and self.view.chain[0] == self.me

    @property
    def is_tail(self) -> bool:
        return self.in_chain and self.view.chain[-1] == self.me

    @property
    def successor(self) -> Member | None:
        """Down the chain; behind the tail the learner that is being filled."""
        if not self.in_chain:
            return None
        if self.is_tail:
            return self.learner
        return self.view.chain[self.position + 1]

    @property
    def view_pending(self) -> bool:
        return self.acceptor.blocked(self.view)

    # The disk

    def mark_outdated(self) -> None:
        """What this copy holds is older than what was acknowledged: it must not lead, and is to be filled anew."""
        log.warning("this copy is older than the one below it")
        self.complete = False
        self.environment.save(Save(facts=self.view_facts()), lambda: None)

    def keep(self, name: str, value: bytes, done: Callable[[], None]) -> None:
        self.environment.save(Save(facts={name: value}), done)

    # Views

    def adopt(self, view: View) -> bool:
        """A view that stands. Returns whether it is news."""
        if view.number <= self.view.number:
            return False
        # A view was missed, or this machine was left out of one, or now stands behind one that stood behind it: what
        # it holds beyond that one was never acknowledged, and is to be filled anew. The head missed nothing: whoever
        # proposed it had it as synced, or, where that was lost with a disk's last writes, the copy below tells.
        before = self.view
        # A learner that is taken in has not followed: calls may have been acknowledged without it.
        follows = view.number == before.number + 1 and self.in_chain
        log.info("view %d: %s", view.number, view)
        self.view, self.learner = view, None
        if not self.in_chain:
            self.complete = False  # a learner is compared anew in each view
        elif not self.is_head:
            stood_above = set(before.chain[: before.chain.index(self.me)]) if follows else set()
            self.complete = self.complete and follows and stood_above.issuperset(view.chain[: self.position])
        self.entered_at = self.environment.now()
        self.environment.save(Save(facts=self.view_facts()), lambda: None)  # of the state another save may be under way
        for call in self.on_view:
            call()
        return True

    def view_facts(self) -> dict[str, bytes]:
        return {"view": msgspec.msgpack.encode(self.view), "whole": b"1" if self.complete else b"0"}

    def adopt_from(self, message: Message | None) -> None:
        """Any message that carries one."""
        view = getattr(message, "view", None)
        if isinstance(view, View):
            self.adopt(view)
