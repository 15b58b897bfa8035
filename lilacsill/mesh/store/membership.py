"""Who of the core lives, and what view the chain should have: the duty of mending. No I/O.

The first member of the view that is up mends; the others wait longer, each for its place, and stand in. Who stands
still itself doubts that first: silence counts from when it went on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import (
    Ballot,
    Departure,
    Heartbeat,
    HeartbeatReply,
    Member,
    Message,
    View,
    ViewChange,
    ViewChangeReply,
)

from .chain import Chain
from .lease_manager import LeaseManager
from .paxos import Proposal, ProposalCallbacks
from .reconfiguration import ClusterState, MachineState, departure_blocker, learners_to_sync, next_view
from .replica import Replica

HEARTBEAT_INTERVAL_US = 150_000
HEARTBEAT_TIMEOUT_US = 350_000
SUSPECT_AFTER_US = 700_000  # no answer for so long
RECENT_REPLY_US = 450_000  # an answer so recent: a machine that may be taken in, or granted a lease
PROPOSER_DELAY_US = 150_000  # each place in the view waits so much longer
VOTE_TIMEOUT_US = 500_000
DISK_STALLED_AFTER_US = 600_000  # a save that is out for so long: the disk stands still
DISK_SLOW_AFTER_US = 150_000  # and so long: it may come to that, and no lease of this member should delay it
PEER_EXPIRY_US = 30_000_000
PAUSE_TOLERANCE_US = 250_000  # a beat that is so late: this process stood still
LEARNER_SLICE_US = 2_000_000  # another learner has its turn after so long


@dataclass(slots=True)
class LastSeen:
    """What one other said last."""

    at: int
    message: Heartbeat | HeartbeatReply


class Membership:
    """One machine's."""

    def __init__(self, replica: Replica, chain: Chain, lease_manager: LeaseManager, seeds: list[str]) -> None:
        self._replica, self._environment, self._chain = replica, replica.environment, chain
        self._seeds = [s for s in seeds if s != replica.me.address]
        self._last_seen: dict[str, LastSeen] = {}
        self._met: dict[str, int] = {}  # address: when it was last told of
        self._asked: set[str] = set()
        self._beat_at = replica.environment.now()
        self._since = replica.environment.now()  # silence counts from here
        self._wish: tuple[int, tuple[Member, ...]] | None = None
        self._wish_at = 0
        self._proposal: Proposal | None = None
        self._filled: dict[Member, tuple[int, int]] = {}  # learners of this view: the number that they have, since when
        self._turn_at = 0  # when the learner that is being filled had its turn
        self._round = 0
        self.lost_machines = 1
        self.lost_places = 0
        self.lease_manager = lease_manager
        lease_manager.on_release = lambda: self._ask_all(replica.environment.now())
        replica.on_view.append(self._entered)

    def start(self) -> None:
        self._beat()

    # What is known

    def peers(self) -> list[str]:
        """All machines of the core known of."""
        now = self._environment.now()
        met = {a for a, at in self._met.items() if now - at < PEER_EXPIRY_US}
        return sorted({m.address for m in self._replica.view.members} | met | {self._replica.me.address})

    def fresh(self, member: Member, within_us: int) -> Heartbeat | HeartbeatReply | None:
        """What that machine, with that disk, has said within this time."""
        seen = self._last_seen.get(member.address)
        if seen is None or self._environment.now() - seen.at > within_us or seen.message.sender != member:
            return None
        return seen.message

    def holds_lease(self) -> bool:
        """The own view is in force at this moment."""
        return self.lease_manager.is_valid()

    # Beats

    def _hello(self) -> Heartbeat:
        replica = self._replica
        # A machine whose disk stands still holds up the chain, and asks to be left out of it.
        return Heartbeat(
            replica.me,
            replica.view,
            replica.state.seq,
            replica.view_pending,
            self._departure(),
            self._chain.synced,
            self.peers(),
            replica.complete,
            self.lease_manager.promised,
            self._environment.oldest_save_age_us() < DISK_SLOW_AFTER_US,
        )

    def _departure(self) -> Departure:
        return max(self._replica.departure, Departure.DISK_STALLED if self._stuck() else Departure.NONE)

    def _stuck(self) -> bool:
        return self._environment.oldest_save_age_us() > DISK_STALLED_AFTER_US

    def _beat(self) -> None:
        now = self._environment.now()
        if now - self._beat_at > HEARTBEAT_INTERVAL_US + PAUSE_TOLERANCE_US:
            self._since = now
        self._beat_at = now
        self._environment.after(HEARTBEAT_INTERVAL_US, self._beat)
        self._ask_all(now)
        if not self._stuck():
            self._mend(now)
        self._fill(now)

    def _ask_all(self, now: int) -> None:
        hello = self._hello()
        # In order, so that a simulated day depends on its seed alone.
        for address in sorted({*self._seeds, *self.peers()} - {self._replica.me.address} - self._asked):
            self._asked.add(address)
            self._environment.ask(address, hello, HEARTBEAT_TIMEOUT_US, partial(self._greeted, address, now))

    def handle_heartbeat(self, m: Heartbeat, reply: Callable[[Message], None]) -> None:
        self._meet(m)
        h = self._hello()
        lease_us = self.lease_manager.lease_offer_us(m, self.fresh(m.sender, RECENT_REPLY_US) is not None)
        reply(
            HeartbeatReply(
                h.sender, h.view, h.seq, h.view_pending, h.departure, h.synced, h.peers, h.complete, lease_us
            )
        )
        self._chain.resync(m.sender.address, m.view.number, m.synced)

    def _greeted(self, address: str, asked_at: int, m: Message | None) -> None:
        self._asked.discard(address)
        if not isinstance(m, HeartbeatReply):
            return
        # Only an answer counts as a sign of life: on a way that is cut in one direction none comes.
        self._last_seen[m.sender.address] = LastSeen(self._environment.now(), m)
        self._meet(m)
        self.lease_manager.on_lease_granted(m, asked_at)
        self._chain.resync(m.sender.address, m.view.number, m.synced)

    def _meet(self, m: Heartbeat | HeartbeatReply) -> None:
        now = self._environment.now()
        self._met[m.sender.address] = now
        for address in m.peers:
            self._met.setdefault(address, now)
        for member in m.view.members:
            self._met.setdefault(member.address, now)
        self._replica.adopt_from(m)

    def handle_view_change(self, m: ViewChange, reply: Callable[[Message], None]) -> None:
        self._replica.adopt(m.view)
        reply(ViewChangeReply(self._replica.view.number))

    # Mending

    def _entered(self) -> None:
        self._since = self._environment.now()
        self._wish, self._proposal = None, None
        self._filled = {}

    def _alive(self, member: Member, now: int) -> bool:
        if member == self._replica.me:
            return True
        if self.fresh(member, SUSPECT_AFTER_US) is not None:
            return True
        return not self._disk_lost(member, now) and now - self._since <= SUSPECT_AFTER_US

    def _disk_lost(self, member: Member, now: int) -> bool:
        """It is back with another disk."""
        seen = self._last_seen.get(member.address)
        return seen is not None and seen.message.sender != member and now - seen.at < SUSPECT_AFTER_US

    def wanted(self, now: int) -> View | None:
        """The view that should follow; None: this one is right, or nothing can be done."""
        return next_view(self.cluster(now))

    def cluster(self, now: int) -> ClusterState:
        """What is known at this moment."""
        view = self._replica.view
        outside = [m for m in self._others(now) if m not in view.members]
        chain = view.chain
        machines = [self._machine(m, m in chain, now) for m in (*view.members, *outside)]
        # Where whole zones or regions may go, all core machines are members: those of any one place are the fewer.
        full = sum(m.alive for m in machines) if self.lost_places else 2 * self.lost_machines + 1
        return ClusterState(view, machines, self.lost_machines + 1, full, len(self.peers()))

    def _others(self, now: int) -> list[Member]:
        """Machines that are there and not in the chain."""
        chain = self._replica.view.chain
        heard = [seen.message.sender for _, seen in sorted(self._last_seen.items()) if now - seen.at < RECENT_REPLY_US]
        return [m for m in heard if m not in chain]

    def _machine(self, member: Member, in_chain: bool, now: int) -> MachineState:
        replica = self._replica
        if member == replica.me:
            return MachineState(member, True, replica.complete, self._departure())
        said = self.fresh(member, SUSPECT_AFTER_US)
        if said is None:
            return MachineState(member, self._alive(member, now), None, disk_lost=self._disk_lost(member, now))
        whole = said.complete if in_chain else said.synced
        return MachineState(member, True, whole if said.view.number == replica.view.number else None, said.departure)

    # The end of this machine

    def is_alone(self) -> bool:
        """There is nobody who could take its place."""
        replica = self._replica
        return replica.view.chain == (replica.me,) and not self.cluster(self._environment.now()).learners

    def is_dispensable(self) -> bool:
        """The chain goes on without it, and all of the chain know that."""
        replica = self._replica
        if replica.in_chain:
            return False
        heard = [self.fresh(m, SUSPECT_AFTER_US) for m in replica.view.chain]
        return all(said is not None and said.view.number >= replica.view.number for said in heard)

    def departure_blocker(self) -> str:
        """For operators; empty: it is not leaving."""
        if not self._replica.departure:
            return ""
        return departure_blocker(self.cluster(self._environment.now()), self._replica.me)

    def learner_states(self) -> dict[str, str]:
        """For operators: machines that are no members, and how far they are."""
        learners = self.cluster(self._environment.now()).learners
        being_filled = self._replica.learner
        return {
            m.member.address: "synced" if m.complete else "being filled" if m.member == being_filled else "waits"
            for m in learners
        }

    # Learners

    def _fill(self, now: int) -> None:
        """The tail fills those that lack something, each in its turn."""
        replica = self._replica
        if not replica.is_tail or not self._chain.synced:
            return
        if replica.learner is None and not self._others(now):
            return
        lacking = [m for m in learners_to_sync(self.cluster(now), max(1, self.lost_machines)) if self._lacks(m)]
        learners = [m.member for m in lacking]
        if replica.learner in learners and (now - self._turn_at < LEARNER_SLICE_US or len(learners) == 1):
            return
        self._turn_at = now
        at = learners.index(replica.learner) + 1 if replica.learner in learners else 0
        self._chain.sync_learner(learners[at % len(learners)] if learners else None)

    def _lacks(self, machine: MachineState) -> bool:
        seen = self._last_seen.get(machine.member.address)
        if seen is None:
            return False  # counted alive only because this view is new
        seq, at = self._filled.get(machine.member, (-1, 0))
        if at > seen.at:  # what it has said is older than what it was given
            return seq < self._replica.state.seq
        return not machine.complete or seen.message.seq < self._replica.state.seq

    def on_learner_synced(self) -> None:
        """The learner that this tail fills has everything that the tail has."""
        learner, now = self._replica.learner, self._environment.now()
        if learner is not None:
            self._filled[learner] = (self._replica.state.seq, now)
        self._fill(now)

    def _mend(self, now: int) -> None:
        replica = self._replica
        if not replica.in_chain or self._proposal is not None:
            return
        wanted = self.wanted(now)
        if wanted is None and replica.view_pending and replica.acceptor.state.accepted_view is not None:
            wanted = replica.acceptor.state.accepted_view  # begun by somebody, and not known to have ended
        if wanted is None:
            self._wish = None
            return
        wish = (wanted.number, wanted.members)
        if self._wish != wish:
            self._wish, self._wish_at = wish, now
        place = [m for m in replica.view.chain if self._alive(m, now)].index(replica.me)
        if now - self._wish_at >= place * PROPOSER_DELAY_US:
            self._propose(wanted)

    def _propose(self, wanted: View) -> None:
        replica = self._replica
        self._round += 1
        ballot = Ballot(max(self._round, replica.acceptor.state.promised.number + 1), replica.me.address)
        log.info("proposes view %d: %s", wanted.number, wanted)
        ways = ProposalCallbacks(self._vote, partial(self._decided, replica.view), self._failed)
        self._proposal = proposal = Proposal(replica.view, wanted, ballot, ways)
        self._environment.after(2 * VOTE_TIMEOUT_US, self._over, proposal)
        proposal.begin()

    def _vote(self, member: Member, message: Message, answered: Callable[[Message | None], None]) -> None:
        self._environment.ask(member.address, message, VOTE_TIMEOUT_US, answered)

    def _decided(self, before: View, view: View) -> None:
        everyone = {m.address for m in (*before.members, *view.members)} - {self._replica.me.address}
        self._replica.adopt(view)
        for address in everyone:
            self._environment.ask(address, ViewChange(view), VOTE_TIMEOUT_US, lambda m: None)

    def _failed(self, view: View | None, ballot: Ballot) -> None:
        self._round = max(self._round, ballot.number)
        proposal, self._proposal = self._proposal, None
        if view is not None:
            self._replica.adopt(view)
        elif proposal is not None:
            # Two that propose at once: each waits for its place anew.
            self._wish_at = self._environment.now() + PROPOSER_DELAY_US

    def _over(self, proposal: Proposal) -> None:
        if self._proposal is proposal and not proposal.is_finished:
            proposal.cancel()
            self._proposal = None
