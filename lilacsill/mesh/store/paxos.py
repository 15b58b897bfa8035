"""Agreement on the next view: single-decree Paxos per view number (Lamport, "The Part-Time Parliament", 1998).

The voters on view n + 1 are the members of view n. There is no leader and no log: any member may propose, and any
machine may forward a view that was chosen. A member that has lost its disk returns with another incarnation, so it is a
different member and has no vote. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

import msgspec

from lilacsill.mesh.runtime.messages import Accept, Accepted, Ballot, Member, Message, Prepare, Promise, View

NO_BALLOT = Ballot(0, "")
"""Lower than the ballot of any proposal."""

STORAGE_KEY = "accord"
"""The name under which the state of an acceptor is stored on disk."""


class AcceptorState(msgspec.Struct, array_like=True):
    """The durable state of an acceptor. It is on disk before any reply that depends on it is sent."""

    view_number: int = 0  # number of the view that is voted on
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    accepted_view: View | None = None


class StableStorage(Protocol):
    """Durable storage for the state of an acceptor."""

    def persist(self, name: str, value: bytes, done: Callable[[], None]) -> None:
        """Write the value, and call `done` once it is on disk."""


class Acceptor:
    """The Paxos acceptor of one voter."""

    def __init__(self, me: Member, state: AcceptorState, storage: StableStorage) -> None:
        self.me, self.state, self._storage = me, state, storage

    def has_accepted_next(self, view: View) -> bool:
        """Return whether this voter has accepted the successor of `view`.

        The voter does not know whether that successor was chosen, so it must not rely on `view` being in force.
        """
        return self.state.view_number == view.number + 1 and self.state.accepted_view is not None

    def promised(self, view: View) -> Ballot:
        """Return the highest ballot that was promised for the successor of `view`."""
        return self.state.promised if self.state.view_number == view.number + 1 else NO_BALLOT

    def prepare(self, view: View, request: Prepare, reply: Callable[[Message], None]) -> None:
        """Reply to phase 1 with a `Promise`.

        Args:
            view: the view in force at this voter.
            request: the prepare request of the proposer.
            reply: called once; if the promise is given, only after the state is on disk.
        """
        if not self._may_vote(view, request.to, request.view_number):
            reply(Promise(False, NO_BALLOT, None, None, view))
            return
        state = self._state_of(request.view_number)
        if request.ballot <= state.promised:
            reply(Promise(False, state.promised, None, None, view))
            return
        state.promised = request.ballot
        answer = Promise(True, request.ballot, state.accepted_ballot, state.accepted_view, view)
        self._persist(lambda: reply(answer))

    def accept(self, view: View, request: Accept, reply: Callable[[Message], None]) -> None:
        """Reply to phase 2 with an `Accepted`.

        Args:
            view: the view in force at this voter.
            request: the accept request of the proposer.
            reply: called once; if the view is accepted, only after the state is on disk.
        """
        if not self._may_vote(view, request.to, request.view.number):
            reply(Accepted(False, NO_BALLOT, view))
            return
        state = self._state_of(request.view.number)
        if request.ballot < state.promised:
            reply(Accepted(False, state.promised, view))
            return
        state.promised = request.ballot
        state.accepted_ballot = request.ballot
        state.accepted_view = request.view
        answer = Accepted(True, request.ballot, view)
        self._persist(lambda: reply(answer))

    def _may_vote(self, view: View, voter: Member, next_number: int) -> bool:
        return voter == self.me and self.me in view.members and next_number == view.number + 1

    def _state_of(self, view_number: int) -> AcceptorState:
        if self.state.view_number != view_number:
            self.state = AcceptorState(view_number)
        return self.state

    def _persist(self, done: Callable[[], None]) -> None:
        self._storage.persist(STORAGE_KEY, msgspec.msgpack.encode(self.state), done)


class ProposalCallbacks(msgspec.Struct):
    """The callbacks through which a proposal sends requests and reports its outcome."""

    ask: Callable[[Member, Message, Callable[[Message | None], None]], None]  # the answer is None after a timeout
    on_chosen: Callable[[View], None]
    # Called with a later view that a voter reported, or None, and with the ballot that the next proposal must exceed.
    on_failed: Callable[[View | None, Ballot], None]


class Phase(Enum):
    """The phase of a proposal."""

    PREPARE = auto()
    ACCEPT = auto()
    FINISHED = auto()


class Proposal:
    """One attempt to get a view chosen with one ballot. It ends exactly once: chosen, failed or cancelled."""

    def __init__(self, view: View, proposed: View, ballot: Ballot, callbacks: ProposalCallbacks) -> None:
        assert proposed.number == view.number + 1 and proposed.members
        self._view, self._value, self._ballot, self._callbacks = view, proposed, ballot, callbacks
        self._phase = Phase.PREPARE
        self._highest_accepted = NO_BALLOT
        self._votes = self._rejections = 0  # of the current phase
        self._ballot_to_exceed = ballot

    @property
    def is_finished(self) -> bool:
        """Whether the proposal was chosen, has failed or was cancelled."""
        return self._phase is Phase.FINISHED

    def begin(self) -> None:
        """Send the prepare request of phase 1 to all voters."""
        for member in self._view.members:
            self._callbacks.ask(member, Prepare(member, self._value.number, self._ballot), self._on_promise)

    def cancel(self) -> None:
        """Ignore all further answers. The view may still be chosen."""
        self._phase = Phase.FINISHED

    def _majority(self) -> int:
        return self._view.majority

    def _on_promise(self, answer: Message | None) -> None:
        if self._phase is not Phase.PREPARE:
            return
        if not isinstance(answer, Promise):
            self._on_rejection(None, NO_BALLOT)
            return
        if not answer.ok:
            self._on_rejection(answer.view, answer.ballot)
            return
        self._adopt_accepted(answer)
        self._votes += 1
        if self._votes == self._majority():
            self._begin_accept_phase()

    def _adopt_accepted(self, promise: Promise) -> None:
        """Propose the accepted view with the highest ballot instead, because that view may already have been chosen."""
        if promise.accepted_view is None or promise.accepted_ballot is None:
            return
        if promise.accepted_ballot > self._highest_accepted:
            self._highest_accepted, self._value = promise.accepted_ballot, promise.accepted_view

    def _begin_accept_phase(self) -> None:
        self._phase = Phase.ACCEPT
        self._votes = self._rejections = 0
        for member in self._view.members:
            self._callbacks.ask(member, Accept(member, self._ballot, self._value), self._on_accepted)

    def _on_accepted(self, answer: Message | None) -> None:
        if self.is_finished:
            return
        if not isinstance(answer, Accepted):
            self._on_rejection(None, NO_BALLOT)
            return
        if not answer.ok:
            self._on_rejection(answer.view, answer.ballot)
            return
        self._votes += 1
        if self._votes == self._majority():
            self._phase = Phase.FINISHED
            self._callbacks.on_chosen(self._value)

    def _on_rejection(self, view: View | None, promised: Ballot) -> None:
        """Handle a rejection by a voter, or a timeout, for which `view` is None."""
        self._ballot_to_exceed = max(self._ballot_to_exceed, promised)
        if view is not None and view.number > self._view.number:
            self._phase = Phase.FINISHED
            self._callbacks.on_failed(view, self._ballot_to_exceed)
            return
        self._rejections += 1
        if self._rejections > len(self._view.members) - self._majority():
            self._phase = Phase.FINISHED
            self._callbacks.on_failed(None, self._ballot_to_exceed)
