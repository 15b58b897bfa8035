"""Proposals of the next view. No I/O.

Any member of the chain may propose, and if no machine of the chain is complete, any voter. To limit concurrent
proposals, each member delays its proposal according to its position among the live members: the first proposes
immediately, and the others only if no view has been chosen by then.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Ballot, Member, Message, View, ViewChange

from .cluster_monitor import ClusterMonitor
from .failure_detector import FailureDetector
from .paxos import Proposal, ProposalCallbacks
from .reconfiguration import next_view
from .recovery import find_recovery
from .replica import Replica

PROPOSER_DELAY_US = 150_000  # each member waits this much longer than the live member before it
VOTE_TIMEOUT_US = 500_000  # for the reply of one voter in one phase
PROPOSAL_TIMEOUT_US = 2 * VOTE_TIMEOUT_US  # for both phases


class ViewProposer:
    """The proposals of one member."""

    def __init__(self, replica: Replica, detector: FailureDetector, monitor: ClusterMonitor) -> None:
        self._replica, self._environment = replica, replica.environment
        self._detector, self._monitor = detector, monitor
        self._desired_view: View | None = None
        self._desired_since_us = 0
        self._proposal: Proposal | None = None
        self._round = 0  # the highest ballot number used or seen since the process started
        replica.view_listeners.append(self._on_view_change)

    def check(self) -> None:
        """Propose the next view if a view change is needed and this member's delay has elapsed."""
        replica, now = self._replica, self._environment.now()
        if not self._may_propose() or self._proposal is not None:
            return
        desired = self.next_view() or self._pending_view()
        if desired is None:
            self._desired_view = None
            return
        if self._desired_view is None or not _has_same_members(desired, self._desired_view):
            self._desired_view, self._desired_since_us = desired, now
        alive = [member for member in replica.view.members if self._detector.is_alive(member)]
        if now - self._desired_since_us >= alive.index(replica.me) * PROPOSER_DELAY_US:
            self._propose(desired)

    def _may_propose(self) -> bool:
        """Return whether this machine is in the chain, or is a voter that must rebuild it with a copy from outside."""
        replica = self._replica
        return replica.in_chain or (replica.is_member and find_recovery(self._monitor.state()) is not None)

    def next_view(self) -> View | None:
        """Return the next view; None if the current view needs no change or cannot be changed."""
        return next_view(self._monitor.state())

    def _pending_view(self) -> View | None:
        """Return a view, proposed by any member, that this member has accepted but does not know to be chosen."""
        return self._replica.acceptor.state.accepted_view if self._replica.view_pending else None

    def _on_view_change(self) -> None:
        self._desired_view = self._proposal = None

    def _propose(self, desired: View) -> None:
        replica = self._replica
        self._round += 1
        ballot = Ballot(max(self._round, replica.acceptor.state.promised.number + 1), replica.me.address)
        self._log_recovery()
        log.info("%s proposes view %d: %s", replica.me.address, desired.number, desired)
        callbacks = ProposalCallbacks(self._ask_voter, partial(self._on_chosen, replica.view), self._on_failed)
        self._proposal = proposal = Proposal(replica.view, desired, ballot, callbacks)
        self._environment.after(PROPOSAL_TIMEOUT_US, self._on_timeout, proposal)
        proposal.begin()

    def _log_recovery(self) -> None:
        recovery = find_recovery(self._monitor.state())
        if recovery is not None:
            log.warning(
                "no machine of the chain of view %d is complete; it continues from the copy of %s, complete in view %d",
                self._replica.view.number,
                recovery.head.member.address,
                recovery.head.complete_view,
            )

    def _ask_voter(self, voter: Member, request: Message, on_answer: Callable[[Message | None], None]) -> None:
        self._environment.ask(voter.address, request, VOTE_TIMEOUT_US, on_answer)

    def _on_chosen(self, previous: View, view: View) -> None:
        addresses = {member.address for member in (*previous.members, *view.members)} - {self._replica.me.address}
        self._replica.adopt(view)
        for address in sorted(addresses):  # sorted, so that a simulation depends only on its seed
            self._environment.ask(address, ViewChange(view), VOTE_TIMEOUT_US, _ignore_answer)

    def _on_failed(self, later_view: View | None, ballot_to_exceed: Ballot) -> None:
        self._round = max(self._round, ballot_to_exceed.number)
        proposal, self._proposal = self._proposal, None
        if later_view is not None:
            self._replica.adopt(later_view)
        elif proposal is not None:
            # Another member has proposed at the same time, or too few voters replied. Each proposer waits again for the
            # delay of its position, and one `PROPOSER_DELAY_US` more.
            self._desired_since_us = self._environment.now() + PROPOSER_DELAY_US

    def _on_timeout(self, proposal: Proposal) -> None:
        if self._proposal is proposal and not proposal.is_finished:
            proposal.cancel()
            self._proposal = None


def _has_same_members(one: View, other: View) -> bool:
    return one.number == other.number and one.members == other.members


def _ignore_answer(answer: Message | None) -> None:
    """Ignore the reply: a member that misses the announcement learns of the view from the next heartbeat."""
