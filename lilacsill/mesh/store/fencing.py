"""A member's read leases and its votes on later views, which wait for the leases that it granted. No I/O.

Each member is holder and voter at once; `lilacsill.mesh.store.leases` has the rules of both sides.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.messages import Accept, Heartbeat, HeartbeatReply, Message, Prepare, Promise
from lilacsill.timers import Timer

from .leases import GrantedLeases, HeldLeases
from .paxos import NONE, Ballot
from .replica import Replica

Replier = Callable[[Message], None]


class Fence:
    """One member's."""

    def __init__(self, replica: Replica) -> None:
        self._replica, self._environment = replica, replica.environment
        self.granted = GrantedLeases(replica.environment.now())
        self.held = HeldLeases()
        self.promised: Ballot = replica.acceptor.promised(replica.view)  # as it is on disk
        self.on_give_up: Callable[[], None] = lambda: None  # the others should be told with the next heartbeat
        self._deferred: list[tuple[Accept, Replier]] = []  # votes that wait for leases to end
        self._retry: Timer | None = None  # of what is deferred
        replica.on_view.append(self._new_view)

    def _new_view(self) -> None:
        self.granted.drop()
        self.held.give_up(self._environment.now())
        self.promised = NONE

    # The holder

    def sure(self) -> bool:
        """The own view is in force at this moment: leases of a majority of its members run."""
        return not self.why_unsure()

    def why_unsure(self) -> str:
        """For operators; empty if `sure`."""
        replica, now = self._replica, self._environment.now()
        number = replica.view.number
        if not replica.is_member:
            return f"not a member of view {number}"
        if replica.view_pending:
            return f"has accepted view {number + 1}, which may be in force"
        if not self.held.left_us(replica.view, replica.me, now):
            voters = len(self.held.granted_by(replica.view.members, now))
            return f"of {len(replica.view.members) - 1} other members of view {number} {voters} grant a lease"
        return ""

    def lease_granted(self, m: HeartbeatReply, asked_at: int) -> None:
        """The answer to a heartbeat sent at `asked_at`."""
        if m.lease_us and m.view.number == self._replica.view.number:
            self.held.granted(m.sender, m.lease_us, asked_at)

    def status(self) -> dict[str, object]:
        """For operators: the lease that this member holds, those it has granted, and why it does not speak."""
        replica, now = self._replica, self._environment.now()
        voters = self.held.granted_by(replica.view.members, now)
        return {
            "sure": self.sure(),
            "why_unsure": self.why_unsure(),
            "lease": {
                "view": replica.view.number,
                "left_ms": self.held.left_us(replica.view, replica.me, now) // 1000,
                "granted_by": sorted(m.address for m in voters),
            },
            "leases_granted_ms": {m.address: us // 1000 for m, us in self.granted.running(now).items()},
        }

    # The voter

    def lease_for(self, m: Heartbeat, answers: bool) -> int:
        """For how long a lease is granted to whoever asks; 0: none. `answers`: it has answered this member of late."""
        replica = self._replica
        if not replica.is_member or m.view.number != replica.view.number or m.sender not in replica.view.members:
            return 0
        if m.promised > replica.acceptor.promised(replica.view):
            # A vote is under way, and its proposer may be out of reach: as if its question had come here, too.
            self.prepare(Prepare(replica.me, replica.view.number + 1, m.promised), lambda answer: None)
        self.granted.given_up(m.sender, m.promised)
        if self._deferred:
            self._accept_deferred()
        # One that does not answer is soon left out: a lease would delay that.
        if replica.view_pending or not m.requests_lease or not answers:
            return 0
        return self.granted.grant(m.sender, m.promised, self._environment.now())

    def prepare(self, m: Prepare, reply: Replier) -> None:
        """The first phase of a vote on the next view: whoever promises relies on no lease, and grants none for now."""
        replica = self._replica
        view = replica.view

        def answered(answer: Message) -> None:
            if isinstance(answer, Promise) and answer.ok and replica.view == view:
                # In this order: what is asked for from here on carries the ballot.
                self.promised = max(answer.ballot, self.promised)
                self.held.give_up(self._environment.now())
                self.on_give_up()
            reply(answer)

        if m.to == replica.me and m.view_number == view.number + 1 and m.ballot > replica.acceptor.promised(view):
            self.granted.pause(self._environment.now())
        replica.acceptor.prepare(view, m, answered)

    def accept(self, m: Accept, reply: Replier) -> None:
        """The second phase: not before the leases granted for this view have ended."""
        self._deferred.append((m, reply))
        self.granted.pause(self._environment.now())
        self._accept_deferred()

    def _accept_deferred(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        wait_us = self.granted.bound_for_us(self._environment.now())
        if wait_us:
            self._retry = self._environment.after(wait_us, self._accept_deferred)
            return
        deferred, self._deferred = self._deferred, []
        for m, reply in deferred:
            self._replica.acceptor.accept(self._replica.view, m, reply)
