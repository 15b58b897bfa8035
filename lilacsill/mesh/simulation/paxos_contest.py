"""Agreement on one view, alone.

Acceptors have disks that sync late and forget what was not synced, proposers come at once, messages are late or lost.
However it goes, two that hold a next view for agreed hold the same one, and once one is agreed no majority confirms the
view before it, not even members that have not heard of the agreement.

Schedules of the whole chain seldom have two proposals at once; here there is nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from lilacsill.mesh.runtime.callbacks import once
from lilacsill.mesh.runtime.messages import Accept, Ballot, Confirm, Confirmed, Member, Message, Prepare, View
from lilacsill.mesh.store.paxos import Acceptor, AcceptorState, Proposal, ProposalCallbacks

from .network import MS, Time
from .store_fleet import RuleBroken

LATE_US, SYNC_US, ASK_US = 30 * MS, 60 * MS, 200 * MS
LENGTH_US, BACK_US = 1_500 * MS, 40 * MS
LOST, CRASHES, PROPOSALS = 0.1, 12, 8
CONFIRM_EVERY_US = 50 * MS
STRUCK = 0.5  # of proposers lose their power in that moment, and of those that are back propose at once


class Seat:
    """One member's acceptor and its disk."""

    def __init__(self, contest: Contest, member: Member) -> None:
        self._contest, self.member = contest, member
        self._known = msgspec.msgpack.encode(AcceptorState())
        self._run_number = self._rounds = self._free_at = 0
        self.up = True
        self.acceptor = Acceptor(member, AcceptorState(), self)

    def persist(self, name: str, value: bytes, done: Callable[[], None]) -> None:
        """Save a fact; `done` is called when it is synced, if the acceptor has not crashed."""
        run_number, time = self._run_number, self._contest.time

        def synced() -> None:
            if run_number == self._run_number:
                self._known = value
                done()

        self._free_at = max(time.now, self._free_at) + self._contest.rng.randrange(SYNC_US)  # one behind the other
        time.at(self._free_at, synced)

    def crash(self) -> None:
        """Lose what is not synced, and come back later."""
        if not self.up:
            return
        self._run_number += 1
        self.up = False
        self._contest.time.after(self._contest.rng.randrange(BACK_US), self._back)

    def _back(self) -> None:
        self.up, self._rounds = True, 0
        self.acceptor = Acceptor(self.member, msgspec.msgpack.decode(self._known, type=AcceptorState), self)
        if self._contest.rng.random() < STRUCK:
            self._contest.propose(seat=self)  # as one that finds the same trouble again

    def ballot(self, beyond: int) -> Ballot:
        """As a proposer in this life would: a life before may have had the same."""
        self._rounds = max(beyond, self._rounds, self.acceptor.state.promised.number) + 1
        return Ballot(self._rounds, self.member.address)


class Contest:
    """One seed's: three or five members, and who proposes what when."""

    def __init__(self, seed: int) -> None:
        self.time, self.rng = Time(), Random(seed)
        members = tuple(Member(f"m{i}", "first") for i in range(self.rng.choice((3, 5))))
        self.view = View(0, members)
        self.seats = {message: Seat(self, message) for message in members}
        self.agreed: set[View] = set()

    def play(self) -> int:
        """Returns how many views were held for agreed: 0 or 1. Raises Broken."""
        for _ in range(PROPOSALS):
            self.time.after(self.rng.randrange(LENGTH_US), self.propose)
        for _ in range(CRASHES):
            self.time.after(self.rng.randrange(LENGTH_US), self._crash)
        self.time.after(CONFIRM_EVERY_US, self._confirm)
        self.time.run(self.time.now + 2 * LENGTH_US)
        return len(self.agreed)

    def _confirm(self) -> None:
        """Ask all members whether the first view is in force, as a read does, and again."""
        is_agreed, confirmations = bool(self.agreed), 0

        def on_answer(answer: Message | None) -> None:
            nonlocal confirmations
            confirmations += isinstance(answer, Confirmed) and answer.ok
            if is_agreed and confirmations >= self.view.majority:
                raise RuleBroken("a majority confirms the first view after the next one was agreed")

        for member in self.view.members:
            self._ask(member, Confirm(self.view.number), on_answer)
        self.time.after(CONFIRM_EVERY_US, self._confirm)

    def _crash(self) -> None:
        self.seats[self.rng.choice(self.view.members)].crash()

    def propose(self, beyond: int = 0, seat: Seat | None = None) -> None:
        """Have a seat propose a view."""
        members = self.view.members
        seat = seat or self.seats[self.rng.choice(members)]
        if not seat.up:
            return
        chosen = tuple(self.rng.sample(members, len(members) - 1))
        Proposal(
            self.view, View(1, chosen), seat.ballot(beyond), ProposalCallbacks(self._ask, self._agreed, self._failed)
        ).begin()
        if self.rng.random() < STRUCK:
            self.time.after(self.rng.randrange(SYNC_US), seat.crash)

    def _failed(self, view: View | None, beyond: Ballot) -> None:
        if self.time.now < LENGTH_US:
            self.time.after(self.rng.randrange(50 * MS), self.propose, beyond.number)

    def _agreed(self, view: View) -> None:
        self.agreed.add(view)
        if len(self.agreed) > 1:
            raise RuleBroken(
                f"two next views are agreed: {[[member.address for member in v.members] for v in self.agreed]}"
            )

    def _ask(self, member: Member, message: Message, answered: Callable[[Message | None], None]) -> None:
        answer_once = once(answered)
        self.time.after(ASK_US, answer_once, None)
        if self.rng.random() >= LOST:
            self.time.after(self.rng.randrange(LATE_US), self._arrive, member, message, answer_once)

    def _arrive(self, member: Member, message: Message, answered: Callable[[Message | None], None]) -> None:
        seat = self.seats[member]
        if not seat.up:
            return

        def reply(message: Message) -> None:
            if self.rng.random() >= LOST:
                self.time.after(self.rng.randrange(LATE_US), partial(answered, message))

        if isinstance(message, Prepare):
            seat.acceptor.prepare(self.view, message, reply)
        elif isinstance(message, Accept):
            seat.acceptor.accept(self.view, message, reply)
        elif isinstance(message, Confirm):
            reply(Confirmed(not seat.acceptor.has_accepted_next(self.view)))
