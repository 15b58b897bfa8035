"""Replication alone, while views follow each other quickly and messages are late.

The views are drawn, by the rules of `lilacsill.mesh.store.reconfiguration`, and each member learns of them at its own
time. However it goes, a change that was acknowledged is in every copy of the last view, and the copies are alike.

Days of the whole store seldom have a message that arrives two views after it was sent; here most of them may.
"""

from __future__ import annotations

from random import Random

from lilacsill.mesh.runtime.messages import Item, Member, Replicate, SummaryRequest, View
from lilacsill.mesh.store.chain import Chain
from lilacsill.mesh.store.cluster_state import ClusterState, MachineState
from lilacsill.mesh.store.facts import StoredReplica
from lilacsill.mesh.store.paxos import AcceptorState
from lilacsill.mesh.store.reconfiguration import next_view
from lilacsill.mesh.store.replica import Replica

from .network import MS, SECOND, Machine, Net
from .store_fleet import RuleBroken

MACHINES, CHAIN_LENGTH, MIN_COPIES = 4, 3, 2
SYNC_US = 2 * MS
LENGTH_US, QUIET_US = 12 * SECOND, 6 * SECOND
VIEW_EVERY_US = (60 * MS, 250 * MS)
CHANGE_EVERY_US = (5 * MS, 60 * MS)
LEARNS_WITHIN_US = 20 * MS
SUSPECT_LEARNS_WITHIN_US = 2 * SECOND
LATENESS_US = (0, 0, 40 * MS)  # at most, of what goes to or comes from a machine
LATENESS_OF_SUSPECTS_US = 2 * SECOND
LINK_DELAY_US = MS
STRAYS = 0.5  # of members hold a change of their own when a view ends


class Copy:
    """One machine with its copy of the configuration; it observes its chain's progress.

    Attributes:
        member: The machine.
        synced_in: Number of the view in which the tail last told that this machine, as its learner, is synced.
    """

    def __init__(self, contest: ReplicationContest, machine: Machine, view: View) -> None:
        self._contest = contest
        self.member = Member(machine.address, "disk")
        stored = StoredReplica(self.member, view, self.member in view.chain, 0, 0, AcceptorState())
        self.replica = Replica(machine, stored, ())
        self.chain = Chain(self.replica, self)
        self.synced_in = 0
        machine.handlers = {
            SummaryRequest: self.chain.predecessor.handle_summary_request,
            Replicate: self.chain.predecessor.handle_replicate,
        }
        self.chain.start()

    def on_commit(self) -> None:
        """Nothing waits for a commit here but the callbacks of changes."""

    def on_writable(self) -> None:
        """Nothing waits here: changes are tried again and again."""

    def on_learner_synced(self) -> None:
        """Take note of the learner that may join the next view."""
        learner = self.replica.learner
        if learner is not None:
            self._contest.copies[learner].synced_in = self.replica.view.number


class ReplicationContest:
    """The contest of one seed.

    Attributes:
        acknowledged: Names of the changes that were acknowledged.
        views: So many views were in force.
    """

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._net = Net(seed, LINK_DELAY_US)
        self._time = self._net.time
        machines = [Machine(self._net, f"m{number}", SYNC_US) for number in range(MACHINES)]
        first = View(1, tuple(Member(machine.address, "disk") for machine in machines[:CHAIN_LENGTH]))
        self._net.machines = {machine.address: machine for machine in machines}
        self.copies: dict[Member, Copy] = {}
        for machine in machines:
            machine.begin()
            copy = Copy(self, machine, first)
            self.copies[copy.member] = copy
        self._view = first  # the newest
        self._suspected: list[Member] = []  # members that are suspected when the next view is agreed
        self._changes = 0
        self.acknowledged: list[str] = []
        self.views = 1

    def play(self) -> None:
        """Raises RuleBroken."""
        self._change()
        self._next_view()
        self._time.run(self._time.now + LENGTH_US)
        self._converge()
        self._judge()

    # What happens

    def _change(self) -> None:
        """Have a machine that believes it is the head take a change, and go on."""
        self._judge()
        heads = [copy for copy in self.copies.values() if copy.replica.is_head]
        copy = self._rng.choice(heads)
        if copy.chain.may_append:
            self._changes += 1
            name, seq = f"change{self._changes}", copy.replica.state.seq + 1

            def answered(is_committed: bool) -> None:
                if is_committed:
                    self.acknowledged.append(name)

            copy.chain.replicate([Item("route", name, 1, seq, b"{}")], seq, answered)
        self._time.after(self._rng.randrange(*CHANGE_EVERY_US), self._change)

    def _next_view(self) -> None:
        """Suspect some, agree on the view that follows, and go on."""
        if self._time.now >= LENGTH_US:
            return
        self._leave_strays()
        self._agree(self._suspected)
        self._sync_a_learner()
        self._draw_lateness()
        self._time.after(self._rng.randrange(*VIEW_EVERY_US), self._next_view)

    def _leave_strays(self) -> None:
        """Let members hold a change that no other has, as one that was never acknowledged: it is found and repaired."""
        for member in self._view.chain[1:]:
            if self._rng.random() < STRAYS:
                name = f"stray{self.views} at {member.address}"
                self.copies[member].replica.state.apply([Item("route", name, 1, 0, b"{}")], 0)

    def _draw_lateness(self) -> None:
        """Choose the members, a minority, that are about to be suspected since their messages are late."""
        voters = self._view.members
        self._suspected = self._rng.sample(voters, self._rng.randrange(len(voters) + 1) // 2)
        for member in self.copies:
            lateness_us = LATENESS_OF_SUSPECTS_US if member in self._suspected else self._rng.choice(LATENESS_US)
            self._net.slow[member.address] = lateness_us

    def _agree(self, suspects: list[Member]) -> None:
        """Put the next view in force where its head knows the present one, and two copies remain."""
        others = [member for member in self.copies if member not in self._view.members]
        machines = [
            MachineState(member, member not in suspects, self._is_complete(self.copies[member]))
            for member in (*self._view.members, *others)
        ]
        view = next_view(ClusterState(self._view, machines, MIN_COPIES, CHAIN_LENGTH, MACHINES, CHAIN_LENGTH))
        if view is None or len(view.chain) < MIN_COPIES:
            return
        self._view, self.views = view, self.views + 1
        for member, copy in self.copies.items():
            within_us = SUSPECT_LEARNS_WITHIN_US if member in suspects else LEARNS_WITHIN_US
            # Whoever proposed it, here the head, relies on the view before no longer.
            wait_us = 0 if member == view.chain[0] else self._rng.randrange(within_us)
            self._time.after(wait_us, self._learn, copy, view)

    def _learn(self, copy: Copy, view: View) -> None:
        copy.replica.adopt(view)

    def _is_complete(self, copy: Copy) -> bool | None:
        """What the machine has said in the present view, and of a learner what the tail has said of it."""
        if copy.member not in self._view.chain:
            return copy.synced_in == self._view.number
        return copy.replica.complete if copy.replica.view == self._view else None

    def _sync_a_learner(self) -> None:
        tail = self.copies[self._view.chain[-1]]
        learners = [member for member in self.copies if member not in self._view.chain]
        if tail.replica.view == self._view:
            tail.chain.sync_learner(self._rng.choice(learners))

    # The end

    def _converge(self) -> None:
        """Messages are quick, and all know the last view."""
        self._net.slow.clear()
        for copy in self.copies.values():
            copy.replica.adopt(self._view)
        before = len(self.acknowledged)
        self._time.run(self._time.now + QUIET_US)
        if len(self.acknowledged) == before:
            raise RuleBroken(f"nothing is acknowledged in view {self._view} after all is quiet")

    def _judge(self) -> None:
        """Check that each copy of the newest view that claims to be up to date has what was acknowledged."""
        for copy in self.copies.values():
            is_of_newest_view = copy.replica.view == self._view and copy.replica.in_chain
            if not is_of_newest_view or not copy.replica.is_up_to_date:
                continue
            items = copy.replica.state.items
            lost = [name for name in self.acknowledged if ("route", name) not in items]
            if lost:
                raise RuleBroken(f"{copy.member.address} lacks acknowledged {', '.join(lost[:5])}")
