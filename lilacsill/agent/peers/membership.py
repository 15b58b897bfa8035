"""Membership and failure detection: SWIM (Das, Gupta and Motivala, 2002) with the three extensions of Lifeguard (2018).

One member is probed in each period, first directly and then through others. A member that does not answer is suspected,
and dead unless the suspicion is refuted in time. A process that was stalled, whose own probes fail, or that others
suspect, trusts itself less: it raises its health score, which lengthens its probe timeouts and periods. After a stall
its suspicions also last longer, by the length of the stall.

No I/O; the caller passes the time in. A member is identified by its number in the list of agents. Its stamp combines
the incarnation of its process with the number of suspicions that the process has refuted (see records.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .records import (
    REFUTATION_BITS,
    Ack,
    AliveView,
    Cause,
    MemberState,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    Record,
    StaleIncarnation,
)
from .suspicion import Suspicion

MAX_HEALTH_SCORE = 8
INDIRECT_PROBES = 3  # members that are asked to probe a target that has not answered
PROBE_TIMEOUT_PERIODS = 0.4  # for the answer to a direct probe, before other members are asked to probe
STALL_PERIODS = 0.5  # with a tick this late, the process counts as stalled
ISOLATION_PERIODS = 3  # without any datagram, after which this process counts as isolated
UNREACHABLE_PROBES = 3  # probes per period of members not known to be alive, while they are the majority; else one
REFUTATION_PERIODS = 6  # the member is probed directly during the last periods of its suspicion
MAX_RELAYED_PROBES = 64  # unanswered probes on behalf of others
INCARNATION_STEP_MS = 256  # greatest random step from the known incarnation to a later one
MAX_NEW_INCARNATIONS = 4  # that this process takes before it assumes that another process has its number

Send = Callable[[int, Record], None]


@dataclass(slots=True)
class Member:
    """This process's state of another agent. Times are in microseconds; 0: never."""

    stamp: int = 0
    state: MemberState = MemberState.UNKNOWN
    since: int = 0  # when it entered the state
    heard_at: int = 0  # when its last datagram arrived
    notified_at: int = 0  # when it was last notified that it is suspected or considered dead
    listed_agents: int = 0  # number of agents in its own list
    cause: Cause = (0, 0)  # of the state
    suspicion: Suspicion | None = None


@dataclass(slots=True, frozen=True)
class StateChange:
    """A change of a member's state in the view of this process."""

    member: int
    before: MemberState
    after: MemberState
    stamp: int
    by: int  # the agent that reported it first
    cause: Cause


@dataclass(slots=True)
class _Probe:
    target: int
    nonce: int
    sent_at: int
    is_indirect: bool = False
    nacks_expected: int = 0


@dataclass(slots=True)
class _RelayedProbe:
    """A probe on behalf of another agent, the requester."""

    requester: int
    requester_nonce: int
    answer_by: int
    nack_sent: bool = False


class Membership:
    """The members and their states.

    Call `detect_stall` first in each event, and `tick` at `due`.

    Attributes:
        members: All other listed agents, by number.
        changes: The state changes; the caller empties the list.
        health_score: Lifeguard's local health multiplier; 0: healthy.
        has_duplicate: Whether another process uses this agent number.
        stalled_us: The total length of the stalls of this process, in microseconds.
    """

    def __init__(
        self,
        own_number: int,
        agents: int,
        period_us: int,
        incarnation: int,
        rng: Random,
        send: Send,
        gossip: Callable[[MemberUpdate], None],
        new_cause: Callable[[], Cause],
    ) -> None:
        """Create the membership.

        Args:
            own_number: The number of this agent.
            agents: The number of agents in the list.
            period_us: The probe period in microseconds.
            incarnation: The incarnation of this process.
            rng: The random number generator of this agent's part in the fleet.
            send: Queues a record for a member.
            gossip: Spreads an update to all members by gossip.
            new_cause: Returns the id for a chain of events that starts in this process.
        """
        self.own_number, self.agents, self._period_us = own_number, agents, period_us
        self.stamp = incarnation << REFUTATION_BITS
        self._rng, self._send, self._gossip, self._new_cause = rng, send, gossip, new_cause
        self.members = {number: Member() for number in range(agents) if number != own_number}
        self._suspects: dict[int, Member] = {}
        self.changes: list[StateChange] = []
        self.health_score = 0
        self.has_duplicate = False
        self._new_incarnations = 0
        self._probe_order: list[int] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}  # by own nonce
        self._nonce = rng.getrandbits(31)
        self._period_at = 0  # start of the next period; 0: not started
        self.stalled_us = 0
        self.heard_at = 0  # when the last datagram of any member arrived

    # Time

    @property
    def due(self) -> int:
        """The time of the next call of `tick`, in microseconds."""
        times = [self._period_at]
        if self._probe is not None and not self._probe.is_indirect:
            times.append(self._probe.sent_at + self._probe_timeout_us())
        times += [member.suspicion.due for member in self._suspects.values() if member.suspicion is not None]
        times += [relayed.answer_by for relayed in self._relayed.values() if not relayed.nack_sent]
        return min(times)

    def start(self, now: int) -> None:
        """Schedule the first period, at a random time within a quarter of a period."""
        self._period_at = now + int(self._rng.random() * self._period_us / 4)
        self.heard_at = now

    def detect_stall(self, now: int) -> int:
        """Return the length of a stall in microseconds, 0 if there was none; discard measurements that span a stall."""
        late_us = now - self.due
        if late_us <= STALL_PERIODS * self._period_us:
            return 0
        self.stalled_us += late_us
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 2)
        self._probe = None
        self._relayed.clear()
        for member in self._suspects.values():
            if member.suspicion is not None:
                member.suspicion.started_at += late_us
        self.heard_at += late_us
        self._period_at = now
        return late_us

    def tick(self, now: int) -> None:
        """Perform everything that is due."""
        self._end_suspicions(now)
        self._end_relayed_probes(now)
        probe = self._probe
        if probe is not None and not probe.is_indirect and probe.sent_at + self._probe_timeout_us() <= now:
            self._probe_indirectly(probe)
        if self._period_at <= now:
            self._next_period(now)

    def _end_suspicions(self, now: int) -> None:
        for number, member in list(self._suspects.items()):
            if member.suspicion is None or member.suspicion.due > now:
                continue
            if member.heard_at > member.suspicion.started_at:  # it is alive: only its refutation was lost
                member.suspicion = Suspicion(now, self.own_number, self.agents, self._period_us)
            else:
                # A process that has received nothing for as long as a suspicion lasts is itself isolated. It treats the
                # member as dead, since it cannot reach it, but does not spread this.
                self._set_state(
                    number,
                    member,
                    MemberState.DEAD,
                    member.stamp,
                    self.own_number,
                    member.cause,
                    now,
                    spread=not self.is_isolated(now),
                )

    def _end_relayed_probes(self, now: int) -> None:
        for nonce, relayed in list(self._relayed.items()):
            if relayed.answer_by <= now and not relayed.nack_sent:
                self._send(relayed.requester, Nack(relayed.requester_nonce))
                relayed.answer_by += self._period_us
                relayed.nack_sent = True
            elif relayed.answer_by + self._period_us <= now:
                del self._relayed[nonce]

    def _probe_timeout_us(self) -> int:
        return int(PROBE_TIMEOUT_PERIODS * self._period_us * (1 + self.health_score))

    def is_isolated(self, now: int) -> bool:
        """Return whether no datagram of any member has arrived for some periods."""
        return now - self.heard_at > ISOLATION_PERIODS * self._period_us * (1 + self.health_score)

    # Probing

    def _next_period(self, now: int) -> None:
        probe, self._probe = self._probe, None
        if probe is not None:
            self._probe_failed(probe, now)
        target = self._next_target()
        if target is not None:
            self._probe = _Probe(target, self._new_nonce(), now)
            self._ping(target, self._probe.nonce)
        self._probe_unreachable()
        self._probe_expiring_suspects(now)
        self._period_at = now + int(self._period_us * (1 + self.health_score) * (0.9 + 0.2 * self._rng.random()))

    def _probe_failed(self, probe: _Probe, now: int) -> None:
        # If a member that was asked to probe has not even sent a Nack, this process probably loses datagrams itself.
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1 + (probe.nacks_expected > 0))
        member = self.members[probe.target]
        if member.state is MemberState.ALIVE:
            self._set_state(
                probe.target, member, MemberState.SUSPECT, member.stamp, self.own_number, self._new_cause(), now
            )
        elif (
            member.state is MemberState.SUSPECT
            and member.suspicion is not None
            and member.suspicion.confirm(self.own_number)
        ):
            self._gossip(MemberUpdate(probe.target, member.stamp, MemberState.SUSPECT, self.own_number, member.cause))

    def _next_target(self) -> int | None:
        # Round-robin, reshuffled for each round (SWIM, 4.3), so that no member waits for more than two rounds.
        for _ in range(2):
            while self._probe_order:
                number = self._probe_order.pop()
                if self.is_alive_or_suspect(number):
                    return number
            self._probe_order = [number for number in self.members if self.is_alive_or_suspect(number)]
            self._rng.shuffle(self._probe_order)
        return None

    def _probe_unreachable(self) -> None:
        """Probe members that are not known to be alive, to rediscover those behind a network partition."""
        unreachable = [number for number in self.members if not self.is_alive_or_suspect(number)]
        probes = UNREACHABLE_PROBES if 2 * len(unreachable) > len(self.members) else 1
        for number in self._rng.sample(unreachable, min(len(unreachable), probes)):
            self._ping(number, self._new_nonce())

    def _probe_expiring_suspects(self, now: int) -> None:
        """Probe suspects whose suspicion ends soon: a live member whose refutations were lost answers the probe."""
        margin_us = REFUTATION_PERIODS * self._period_us * (1 + self.health_score)
        expiring = [
            number
            for number, member in self._suspects.items()
            if member.suspicion is not None and member.suspicion.due - margin_us <= now
        ]
        for number in expiring[:UNREACHABLE_PROBES]:
            self._ping(number, self._new_nonce())

    def _ping(self, number: int, nonce: int) -> None:
        member = self.members[number]
        if member.state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):  # Lifeguard's buddy system
            self._send(number, MemberUpdate(number, member.stamp, member.state, self.own_number, member.cause))
        self._send(number, Ping(nonce, self.agents))

    def _probe_indirectly(self, probe: _Probe) -> None:
        probe.is_indirect = True
        self._ping(probe.target, probe.nonce)  # also directly again: the first ping may have been lost
        others = [number for number in self.alive() if number != probe.target]
        for other in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
            self._send(other, PingRequest(probe.nonce, probe.target))
            probe.nacks_expected += 1

    def _new_nonce(self) -> int:
        self._nonce = (self._nonce + 1) % 2**32
        return self._nonce

    # Datagrams and records

    def on_datagram(self, sender: int, stamp: int, now: int) -> None:
        """Record an accepted datagram, which shows that its sender is alive."""
        member = self.members[sender]
        member.heard_at = self.heard_at = now
        if stamp > member.stamp or member.state is MemberState.UNKNOWN:
            self._set_state(sender, member, MemberState.ALIVE, stamp, sender, self._new_cause(), now)
        elif member.state in (MemberState.SUSPECT, MemberState.DEAD) and (
            now - member.notified_at >= self._period_us // 2
        ):
            # Notify the sender so that it refutes the state with a higher stamp; until then other members would ignore
            # an ALIVE update. Not at every datagram: two members that consider each other dead would answer each other
            # endlessly.
            member.notified_at = now
            self._send(sender, MemberUpdate(sender, member.stamp, member.state, self.own_number, member.cause))

    def on_record(self, sender: int, record: Record, now: int) -> None:
        """Handle a membership record."""
        if isinstance(record, Ping):
            self.members[sender].listed_agents = record.agents
            self._send(sender, Ack(record.nonce))
        elif isinstance(record, Ack):
            self._on_ack(record.nonce)
        elif isinstance(record, Nack):
            if self._probe is not None and record.nonce == self._probe.nonce:
                self._probe.nacks_expected = max(0, self._probe.nacks_expected - 1)
        elif isinstance(record, PingRequest):
            self._on_ping_request(sender, record, now)
        elif isinstance(record, StaleIncarnation):
            self._take_later_incarnation(record.stamp)
        elif isinstance(record, MemberUpdate):
            self._on_update(sender, record, now)
        elif isinstance(record, AliveView):
            self._on_alive_view(sender, record, now)

    def alive_view(self) -> AliveView:
        """Return a record of the members that are alive, this process included."""
        bits = bytearray(-(-self.agents // 8))
        for number in (self.own_number, *self.alive()):
            bits[number >> 3] |= 1 << (number & 7)
        return AliveView(bytes(bits))

    def leave(self) -> MemberUpdate:
        """Return the update by which this process announces its end."""
        return MemberUpdate(self.own_number, self.stamp, MemberState.LEFT, self.own_number, self._new_cause())

    def report_stale(self, sender: int, latest_incarnation: int) -> None:
        """Notify a process that a later incarnation with its agent number is known."""
        self._send(sender, StaleIncarnation(latest_incarnation << REFUTATION_BITS))

    def _on_ack(self, nonce: int) -> None:
        probe = self._probe
        if probe is not None and probe.nonce == nonce:
            self._probe = None
            self.health_score = max(0, self.health_score - 1)
        relayed = self._relayed.get(nonce)
        if relayed is not None:
            self._send(relayed.requester, Ack(relayed.requester_nonce))
            del self._relayed[nonce]

    def _on_ping_request(self, sender: int, request: PingRequest, now: int) -> None:
        has_room = len(self._relayed) < MAX_RELAYED_PROBES
        if request.target in self.members and request.target != sender and has_room:
            nonce = self._new_nonce()
            answer_by = now + int(PROBE_TIMEOUT_PERIODS * self._period_us)
            self._relayed[nonce] = _RelayedProbe(sender, request.nonce, answer_by)
            self._ping(request.target, nonce)

    def _on_alive_view(self, sender: int, view: AliveView, now: int) -> None:
        """Mark members as alive that are unknown to this process and alive in the sender's view."""
        for number, member in self.members.items():
            if member.state is not MemberState.UNKNOWN or number >> 3 >= len(view.alive):
                continue
            if view.alive[number >> 3] >> (number & 7) & 1:
                self._set_state(number, member, MemberState.ALIVE, 0, sender, self._new_cause(), now, spread=False)

    def _on_update(self, sender: int, update: MemberUpdate, now: int) -> None:
        if update.member == self.own_number:
            self._on_update_of_self(sender, update)
            return
        member = self.members.get(update.member)
        if member is None:
            return
        is_same_suspicion = update.state is MemberState.SUSPECT and member.state is MemberState.SUSPECT
        if is_same_suspicion and update.stamp == member.stamp:
            assert member.suspicion is not None
            if member.suspicion.confirm(update.by):
                self._gossip(update)
        elif (update.stamp, update.state) > (member.stamp, member.state) and update.state is not MemberState.UNKNOWN:
            self._set_state(update.member, member, update.state, update.stamp, update.by, update.cause, now)

    def _on_update_of_self(self, sender: int, update: MemberUpdate) -> None:
        """Refute an update that declares this process suspected, dead or left.

        The refutation goes out by gossip and directly to the sender, since gossip may miss one member every time.
        """
        incarnation = self.stamp >> REFUTATION_BITS
        if update.stamp >> REFUTATION_BITS > incarnation:
            self._take_later_incarnation(update.stamp)
            return
        if update.state is MemberState.ALIVE or update.stamp >> REFUTATION_BITS < incarnation:
            return
        if update.stamp >= self.stamp:
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
            self._announce_stamp(update.stamp + 1, update.cause)
        self._send(sender, MemberUpdate(self.own_number, self.stamp, MemberState.ALIVE, self.own_number, update.cause))

    def _take_later_incarnation(self, stamp: int) -> None:
        """Change to an incarnation later than that of a stamp.

        It is needed when the clock has gone back since the previous process, or another process has this number.
        """
        if stamp >> REFUTATION_BITS < self.stamp >> REFUTATION_BITS:
            return
        self._new_incarnations += 1
        if self._new_incarnations > MAX_NEW_INCARNATIONS:
            self.has_duplicate = True  # otherwise the two processes would raise their incarnations endlessly
            return
        # Random, since two processes with one number could otherwise choose the same incarnation and pass for one.
        incarnation = (stamp >> REFUTATION_BITS) + 1 + self._rng.randrange(INCARNATION_STEP_MS)
        self._announce_stamp(incarnation << REFUTATION_BITS, self._new_cause())

    def _announce_stamp(self, stamp: int, cause: Cause) -> None:
        self.stamp = stamp
        self._gossip(MemberUpdate(self.own_number, stamp, MemberState.ALIVE, self.own_number, cause))

    def _set_state(
        self,
        number: int,
        member: Member,
        state: MemberState,
        stamp: int,
        by: int,
        cause: Cause,
        now: int,
        spread: bool = True,
    ) -> None:
        before = member.state
        member.state, member.stamp, member.cause = state, max(stamp, member.stamp), cause
        member.suspicion = None
        self._suspects.pop(number, None)
        if state is MemberState.SUSPECT:
            member.suspicion = Suspicion(now, by, self.agents, self._period_us)
            self._suspects[number] = member
        if before is not state:
            member.since = now
            self.changes.append(StateChange(number, before, state, stamp, by, cause))
        if spread and stamp:
            self._gossip(MemberUpdate(number, member.stamp, state, by, cause))

    # Views

    def alive(self) -> list[int]:
        """Return the numbers of the members that are alive."""
        return [number for number, member in self.members.items() if member.state is MemberState.ALIVE]

    def is_alive_or_suspect(self, number: int) -> bool:
        """Return whether a member is alive or only suspected; always true for this process."""
        return number == self.own_number or self.members[number].state in (MemberState.ALIVE, MemberState.SUSPECT)
