"""The view agreed: for each next view one decree of Paxos (Lamport, 1998) among the members of the view before.

There is no leader and no log: anyone may propose, and what is agreed is a fact that anyone may pass on. A member that
has lost its disk has another incarnation, and is not the one that is asked. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from lilacsill.mesh.runtime.messages import Accept, Accepted, Ballot, Member, Message, Prepare, Promise, View

NO_BALLOT = Ballot(0, "")
"""Lower than every ballot of a proposal."""


class AcceptorState(msgspec.Struct, array_like=True):
    """What an acceptor must not forget."""

    number: int = 0  # of the view that it is about
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    accepted_view: View | None = None


class StableStorage(Protocol):
    def persist(self, name: str, value: bytes, done: Callable[[], None]) -> None:
        """On disk before `done`."""


class Acceptor:
    """One member's voice."""

    def __init__(self, me: Member, acceptor_state: AcceptorState, storage: StableStorage) -> None:
        self.me, self.state, self._storage = me, acceptor_state, storage

    def has_accepted_next(self, view: View) -> bool:
        """It has accepted a next view: whether that stands it does not know, and no read may rest on it."""
        return self.state.number == view.number + 1 and self.state.accepted_view is not None

    def promised(self, view: View) -> Ballot:
        """The highest ballot promised for the next view."""
        return self.state.promised if self.state.number == view.number + 1 else NO_BALLOT

    def _state_of(self, number: int) -> AcceptorState:
        if self.state.number != number:
            self.state = AcceptorState(number)
        return self.state

    def prepare(self, view: View, m: Prepare, reply: Callable[[Message], None]) -> None:
        if m.to != self.me or self.me not in view.members or m.view_number != view.number + 1:
            return reply(Promise(False, NO_BALLOT, None, None, view))
        acceptor_state = self._state_of(m.view_number)
        if m.ballot <= acceptor_state.promised:
            return reply(Promise(False, acceptor_state.promised, None, None, view))
        acceptor_state.promised = m.ballot
        answer = Promise(True, m.ballot, acceptor_state.accepted_ballot, acceptor_state.accepted_view, view)
        self._persist(lambda: reply(answer))

    def accept(self, view: View, m: Accept, reply: Callable[[Message], None]) -> None:
        if m.to != self.me or self.me not in view.members or m.view.number != view.number + 1:
            return reply(Accepted(False, NO_BALLOT, view))
        acceptor_state = self._state_of(m.view.number)
        if m.ballot < acceptor_state.promised:
            return reply(Accepted(False, acceptor_state.promised, view))
        acceptor_state.promised, acceptor_state.accepted_ballot, acceptor_state.accepted_view = (
            m.ballot,
            m.ballot,
            m.view,
        )
        answer = Accepted(True, m.ballot, view)
        self._persist(lambda: reply(answer))

    def _persist(self, done: Callable[[], None]) -> None:
        self._storage.persist("accord", msgspec.msgpack.encode(self.state), done)


@dataclass(slots=True)
class ProposalCallbacks:
    """What a proposal needs of its process."""

    ask: Callable[[Member, Message, Callable[[Message | None], None]], None]
    agreed: Callable[[View], None]
    failed: Callable[[View | None, Ballot], None]  # a later view that somebody has; the ballot to go beyond


class Proposal:
    """One try at one ballot. Ends once: agreed or failed."""

    def __init__(self, view: View, wanted: View, ballot: Ballot, ways: ProposalCallbacks) -> None:
        assert wanted.number == view.number + 1 and wanted.members
        self._view, self._value, self._ballot, self._ways = view, wanted, ballot, ways
        self._best: Ballot = NO_BALLOT
        self._yes = self._no = 0
        self._second = self.over = False
        self._beyond = ballot

    def begin(self) -> None:
        for member in self._view.members:
            self._ways.ask(member, Prepare(member, self._value.number, self._ballot), self._promised)

    def _majority(self) -> int:
        return self._view.majority

    def _promised(self, m: Message | None) -> None:
        if self.over or self._second:
            return
        if not isinstance(m, Promise) or not m.ok:
            return self._refused(
                m.view if isinstance(m, Promise) else None, m.ballot if isinstance(m, Promise) else NO_BALLOT
            )
        if m.accepted_view is not None and m.accepted_ballot is not None and m.accepted_ballot > self._best:
            self._best, self._value = m.accepted_ballot, m.accepted_view  # it may stand already
        self._yes += 1
        if self._yes == self._majority():
            self._second, self._yes, self._no = True, 0, 0
            for member in self._view.members:
                self._ways.ask(member, Accept(member, self._ballot, self._value), self._accepted)

    def _accepted(self, m: Message | None) -> None:
        if self.over:
            return
        if not isinstance(m, Accepted) or not m.ok:
            return self._refused(
                m.view if isinstance(m, Accepted) else None, m.ballot if isinstance(m, Accepted) else NO_BALLOT
            )
        self._yes += 1
        if self._yes == self._majority():
            self.over = True
            self._ways.agreed(self._value)

    def _refused(self, view: View | None, ballot: Ballot) -> None:
        self._beyond = max(self._beyond, ballot)
        if view is not None and view.number > self._view.number:
            self.over = True
            return self._ways.failed(view, self._beyond)
        self._no += 1
        if self._no > len(self._view.members) - self._majority():
            self.over = True
            self._ways.failed(None, self._beyond)
