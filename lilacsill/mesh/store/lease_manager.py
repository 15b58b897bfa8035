"""The read leases of one member, and its votes on later views. No I/O.

A member accepts a later view only after all leases that it has granted have ended. Each member is both a holder and a
grantor of leases; `lilacsill.mesh.store.leases` implements the rules of both roles. The highest ballot that a member
has promised is its fencing token: a lease that was requested with a lower ballot is void.
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
    """An accept request that waits for the granted leases to end."""

    request: Accept
    reply: Replier


class LeaseManager:
    """The leases and votes of one member.

    Args:
        replica: the member.
        on_release: called after the member has released the leases that it holds, to notify their grantors.
    """

    def __init__(self, replica: Replica, on_release: Callable[[], None]) -> None:
        self._replica, self._environment = replica, replica.environment
        self.grantor = LeaseGrantor(replica.environment.now())
        self.holder = LeaseHolder()
        self.promised: Ballot = replica.acceptor.promised(replica.view)  # the fencing token, as stored on disk
        self._on_release = on_release
        self._deferred: list[_DeferredVote] = []
        self._retry: Timer | None = None  # runs the deferred votes
        replica.view_listeners.append(self._on_view_change)

    def _on_view_change(self) -> None:
        self.grantor.clear()
        self.holder.release_all(self._environment.now())
        self.promised = NO_BALLOT

    # Holder

    def is_valid(self) -> bool:
        """Return whether the view is certainly in force: this member holds leases of a majority of its members."""
        return not self.invalid_reason()

    def invalid_reason(self) -> str:
        """Return, for operators, why this member may not rely on its view; an empty string if it may."""
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

    def on_lease_granted(self, reply: HeartbeatReply, requested_at_us: int) -> None:
        """Record the lease that the reply to a heartbeat grants. The heartbeat was sent at `requested_at_us`."""
        if reply.lease_us and reply.view.number == self._replica.view.number:
            self.holder.add(reply.sender, reply.lease_us, requested_at_us)

    def status(self) -> dict[str, object]:
        """Return, for operators, the lease that this member holds and the leases that it has granted."""
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

    def lease_offer_us(self, request: Heartbeat, sender_is_responsive: bool) -> int:
        """Grant a lease to the sender of a heartbeat, if this member may.

        Args:
            request: the heartbeat.
            sender_is_responsive: whether the sender has recently replied to a heartbeat of this member.

        Returns:
            The duration of the lease in microseconds; 0 if no lease is granted.
        """
        replica = self._replica
        view = replica.view
        if not replica.is_member or request.view.number != view.number or request.sender not in view.members:
            return 0
        if request.promised > replica.acceptor.promised(view):
            # A vote is in progress, and its proposer may be unable to reach this member: use the ballot that the
            # heartbeat carries.
            self.prepare(Prepare(replica.me, view.number + 1, request.promised), lambda answer: None)
        self.grantor.release(request.sender, request.promised)
        if self._deferred:
            self._accept_deferred()
        # A member that does not reply is about to be removed from the chain, and a lease would delay the removal.
        if replica.view_pending or not request.requests_lease or not sender_is_responsive:
            return 0
        return self.grantor.grant(request.sender, request.promised, self._environment.now())

    def prepare(self, request: Prepare, reply: Replier) -> None:
        """Handle phase 1 of a vote on the next view.

        A member that makes a promise releases the leases that it holds and suspends granting leases.
        """
        replica = self._replica
        view = replica.view

        def on_answer(answer: Message) -> None:
            if isinstance(answer, Promise) and answer.ok and replica.view == view:
                # The ballot must be set before the release, so that every later lease request carries it.
                self.promised = max(answer.ballot, self.promised)
                self.holder.release_all(self._environment.now())
                self._on_release()
            reply(answer)

        is_for_next_view = request.to == replica.me and request.view_number == view.number + 1
        if is_for_next_view and request.ballot > replica.acceptor.promised(view):
            self.grantor.suspend_grants(self._environment.now())
        replica.acceptor.prepare(view, request, on_answer)

    def accept(self, request: Accept, reply: Replier) -> None:
        """Handle phase 2 of a vote after all leases that were granted for the current view have ended."""
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
