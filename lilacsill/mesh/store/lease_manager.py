"""A member's read leases, and its votes on later views, which wait until the leases that it granted end. No I/O.

Each member is both holder and grantor; `lilacsill.mesh.store.leases` has the rules of both. The highest ballot that a
member has promised serves as its fencing token: a lease that was requested with a lower one is void.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lilacsill.mesh.runtime.messages import Accept, Ballot, Heartbeat, HeartbeatReply, Message, Prepare, Promise
from lilacsill.timers import Timer

from .leases import LeaseGrantor, LeaseHolder
from .paxos import NO_BALLOT
from .replica import Replica

Replier = Callable[[Message], None]


class _DeferredVote(NamedTuple):
    """A request for a vote that waits for granted leases to end."""

    request: Accept
    reply: Replier


class LeaseManager:
    """The leases and votes of one member.

    Args:
        replica: the member.
        on_release: called when the member has released the leases that it holds, so that it can say so.
    """

    def __init__(self, replica: Replica, on_release: Callable[[], None]) -> None:
        self._replica, self._environment = replica, replica.environment
        self.grantor = LeaseGrantor(replica.environment.now())
        self.holder = LeaseHolder()
        self.promised: Ballot = replica.acceptor.promised(replica.view)  # the fencing token, as it is on disk
        self._on_release = on_release
        self._deferred: list[_DeferredVote] = []
        self._retry: Timer | None = None  # of the deferred votes
        replica.view_listeners.append(self._on_view_change)

    def _on_view_change(self) -> None:
        self.grantor.clear()
        self.holder.release_all(self._environment.now())
        self.promised = NO_BALLOT

    # Holder

    def is_valid(self) -> bool:
        """Return whether the view is certainly in force: leases of a majority of its members run."""
        return not self.invalid_reason()

    def invalid_reason(self) -> str:
        """Return for operators why this member may not rely on its view; empty if it may."""
        replica, now = self._replica, self._environment.now()
        number = replica.view.number
        if not replica.is_member:
            return f"not a member of view {number}"
        if replica.view_pending:
            return f"has accepted view {number + 1}, which may be in force"
        if not self.holder.remaining_us(replica.view, replica.me, now):
            voters = len(self.holder.grantors(replica.view.members, now))
            return f"of {len(replica.view.members) - 1} other members of view {number} {voters} grant a lease"
        return ""

    def on_lease_granted(self, reply: HeartbeatReply, asked_at: int) -> None:
        """Take the lease from the reply to a heartbeat sent at `asked_at` (microseconds)."""
        if reply.lease_us and reply.view.number == self._replica.view.number:
            self.holder.add(reply.sender, reply.lease_us, asked_at)

    def status(self) -> dict[str, object]:
        """Return for operators the lease that this member has, and those that it has granted."""
        replica, now = self._replica, self._environment.now()
        grantors = self.holder.grantors(replica.view.members, now)
        return {
            "sure": self.is_valid(),
            "why_unsure": self.invalid_reason(),
            "lease": {
                "view": replica.view.number,
                "left_ms": self.holder.remaining_us(replica.view, replica.me, now) // 1000,
                "granted_by": sorted(member.address for member in grantors),
            },
            "leases_granted_ms": {
                member.address: remaining_us // 1000
                for member, remaining_us in self.grantor.remaining_by_holder(now).items()
            },
        }

    # Grantor

    def lease_offer_us(self, request: Heartbeat, sender_answers: bool) -> int:
        """Grant a lease to the sender of a heartbeat, if this member may.

        Args:
            request: the heartbeat.
            sender_answers: whether the sender has lately answered a heartbeat of this member.

        Returns:
            The length of the lease in microseconds; 0: no lease.
        """
        replica = self._replica
        view = replica.view
        if not replica.is_member or request.view.number != view.number or request.sender not in view.members:
            return 0
        if request.promised > replica.acceptor.promised(view):
            # A vote is under way, and its proposer may not reach this member: take its ballot from the heartbeat.
            self.prepare(Prepare(replica.me, view.number + 1, request.promised), lambda answer: None)
        self.grantor.release(request.sender, request.promised)
        if self._deferred:
            self._accept_deferred()
        # A member that does not answer is about to be removed from the chain, which its lease would delay.
        if replica.view_pending or not request.requests_lease or not sender_answers:
            return 0
        return self.grantor.grant(request.sender, request.promised, self._environment.now())

    def prepare(self, request: Prepare, reply: Replier) -> None:
        """Answer phase 1 of a vote on the next view.

        A member that promises relies on no lease, and grants none for the time being.
        """
        replica = self._replica
        view = replica.view

        def on_answer(answer: Message) -> None:
            if isinstance(answer, Promise) and answer.ok and replica.view == view:
                # The order matters: leases that are requested from here on carry the ballot.
                self.promised = max(answer.ballot, self.promised)
                self.holder.release_all(self._environment.now())
                self._on_release()
            reply(answer)

        is_for_next_view = request.to == replica.me and request.view_number == view.number + 1
        if is_for_next_view and request.ballot > replica.acceptor.promised(view):
            self.grantor.suspend_grants(self._environment.now())
        replica.acceptor.prepare(view, request, on_answer)

    def accept(self, request: Accept, reply: Replier) -> None:
        """Answer phase 2 of a vote, once all leases granted for the present view have ended."""
        self._deferred.append(_DeferredVote(request, reply))
        self.grantor.suspend_grants(self._environment.now())
        self._accept_deferred()

    def _accept_deferred(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        wait_us = self.grantor.blocked_for_us(self._environment.now())
        if wait_us:
            self._retry = self._environment.after(wait_us, self._accept_deferred)
            return
        deferred, self._deferred = self._deferred, []
        for vote in deferred:
            self._replica.acceptor.accept(self._replica.view, vote.request, vote.reply)
