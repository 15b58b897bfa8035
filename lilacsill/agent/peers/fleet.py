"""One agent's part in its fleet: membership, counts, budgets and backend health over one stream of datagrams.

It takes datagrams and times, and produces datagrams and state changes. No I/O: the caller sends the datagrams that
`take_datagrams` returns.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .counts import NAMES, Counts
from .datagram import MAX_RECORD_BYTES, Datagram, DatagramCodec, StaleDatagram
from .escrow import Escrow, Right
from .event_log import EventKind, EventLog
from .fleet_size import FleetSize
from .gossip import Gossip
from .membership import Membership, StateChange
from .outbox import Outbox
from .peer_health import ALL_BACKENDS, Claim, PeerHealth, PeerVerdict
from .records import (
    REFUTATION_BITS,
    SHARE_UNITS,
    CountRow,
    HealthReport,
    LeaseGrant,
    LeaseRequest,
    LeaseReturn,
    MemberState,
    Record,
    encode,
)

BUDGETS = ("cold", "probes", "retries")
COUNT_DATAGRAMS_PER_PERIOD = 2  # while there are new counts
MIN_ROW_BYTES = 16  # of an encoded row of counts; with less space left none is tried
ROWS_PER_DATAGRAM = 8  # limit for rows that are sent again
# After dead members are alive again: how many of them get a datagram of counts per period, and for how many periods.
HEALED_DATAGRAMS_PER_PERIOD, HEALED_PERIODS = 4, 6
ALIVE_VIEW_PERIODS = 4  # between two alive views, each sent to one member
CARRY_DELAY_US = 10_000_000  # all members have to be alive for so long before earlier incarnations are carried
# Of the length of a stall: datagrams that are read within this time after it were probably sent before its end.
BACKLOG_SHARE = 0.1
# In periods. A period may begin together with another event in this range, which saves wake-ups of an idle agent.
PERIOD_RANGE = 0.75, 1.25


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The settings of the channel between agents."""

    own_number: int
    agents: int  # listed, this one included
    configured_agents: int  # according to the platform's settings
    fleet: int = 0  # datagram.fleet_id
    secrets: tuple[bytes, ...] = ()
    period_us: int = 500_000
    lease_us: int = 2_000_000
    seed: int = 0


class Fleet:
    """One agent's part in its fleet.

    Call `start` once, `tick` at `due` and `receive` for each datagram.

    Attributes:
        changes: The state changes of members; the caller empties the list.
    """

    def __init__(self, settings: FleetSettings, now: int, incarnation: int) -> None:
        self.settings = settings
        rng = self._rng = Random(f"{settings.seed} peers {settings.own_number} {incarnation}")
        self.codec = DatagramCodec(settings.own_number, settings.fleet, settings.agents, settings.secrets)
        self.events = EventLog(settings.own_number)
        self.updates, self._count_updates = Gossip(settings.agents), Gossip(settings.agents)
        self._outbox = Outbox(self.updates, self._encoded_counts)
        self.membership = Membership(
            settings.own_number,
            settings.agents,
            settings.period_us,
            incarnation,
            rng,
            self._outbox.send,
            lambda update: self.updates.add(("member", update.member), update),
            self.events.new_cause,
        )
        self.counts = Counts(settings.own_number, incarnation)
        self.escrows = {
            budget: Escrow(now, settings.lease_us, no_earlier_leases=settings.agents == 1)
            for budget in range(len(BUDGETS))
        }
        self.peer_health = PeerHealth(settings.own_number)
        self.size = FleetSize(settings.configured_agents, settings.agents)
        self.changes: list[StateChange] = []
        # Random, hence far from the nonces of the previous incarnation: a request must not look older than those.
        self._nonce = rng.getrandbits(31)
        self._period_from = self._period_at = now  # earliest and latest start of the next period
        self._periods = 0
        self._backlog_until = 0  # datagrams read before may have waited during a stall
        self._ready: list[tuple[int, bytes]] = []
        self._sent_counts: dict[tuple[int, int], tuple[int, int, int, int]] = {}  # own counts as last sent, by key
        self._all_alive_since = 0  # 0: not all members are alive
        self._healed_periods = 0  # periods left in which members that were dead get all counts
        self._last_period_at = now
        self._rediscovered: list[int] = []  # members alive again that have not been sent the counts they missed

    def start(self, now: int) -> None:
        """Start probing members."""
        self.membership.start(now)

    @property
    def due(self) -> int:
        """The time of the next call of `tick`, in microseconds."""
        return min(self.membership.due, self._period_at)

    @property
    def incarnation(self) -> int:
        """The incarnation of this process at its start."""
        return self.counts.incarnation

    def receive(self, now: int, data: bytes, source: int | None) -> None:
        """Handle a datagram; `source` is the member with its source address, None for any other address."""
        self._detect_stall(now)
        decoded = self.codec.decode(data, source)
        if isinstance(decoded, StaleDatagram):
            self.membership.report_stale(decoded.sender, decoded.latest_incarnation)
        elif isinstance(decoded, Datagram):
            self.membership.on_datagram(decoded.sender, decoded.stamp, now)
            for record in decoded.records:
                self._on_record(decoded.sender, decoded.stamp, record, now)
        self._finish_event(now)

    def tick(self, now: int) -> None:
        """Perform everything that is due."""
        self._detect_stall(now)
        self.membership.tick(now)
        if self._period_from <= now:
            self._begin_period(now)
        self._finish_event(now)

    def take_datagrams(self) -> list[tuple[int, bytes]]:
        """Return the datagrams to send, each with its destination member."""
        ready, self._ready = self._ready, []
        return ready

    def leave(self, now: int) -> None:
        """Announce the end of this process to a few members, which spread it by gossip."""
        update = self.membership.leave()
        alive = self.membership.alive()
        for member in self._rng.sample(alive, min(3, len(alive))):
            self._outbox.send(member, update)
        self._finish_event(now)

    # For the agent

    def right(self, budget: int, now: int) -> Right:
        """Return what this agent may spend of a budget, in SHARE_UNITS."""
        return self.escrows[budget].right(now)

    def share(self, budget: int, now: int) -> tuple[float, int, float]:
        """Return the share of the whole budget that may be spent, until what time, and the share after that time."""
        right, total = self.right(budget, now), self.size.number * SHARE_UNITS
        return right.amount / total, right.until, right.amount_after / total

    def set_need(self, budget: int, shares: float) -> None:
        """Set how much of a budget this agent could use, as a multiple of its equal share."""
        self.escrows[budget].need = int(min(float(self.settings.agents), max(0.0, shares)) * SHARE_UNITS)

    def set_unhealthy(self, backends: set[str], now: int, lifetime_us: int) -> None:
        """Set the backends that this agent itself observes as unhealthy, and report them for `lifetime_us`."""
        is_isolated = self.membership.is_isolated(now)
        alive = self.membership.alive()
        cause = self.events.new_cause()
        claims = self.peer_health.update_own_claims(backends, now, lifetime_us, self.incarnation, is_isolated, cause)
        for claim in claims:
            self.events.add(
                now,
                EventKind.REPORT_SENT,
                claim.cause,
                backend=self.peer_health.name_of(claim.backend),
                verdict=claim.health.label,
            )
            record = claim.record(now)
            self._spread_claim(claim, record)
            # A new report goes at once to as many members as one gossip update: others still use the backend meanwhile.
            if claim.renewal == 0:
                for member in self._rng.sample(alive, min(self.updates.sends, len(alive))):
                    self._outbox.send(member, record)
        self._finish_event(now)

    def note_applied(self, now: int, verdict: PeerVerdict) -> None:
        """Log that a verdict was posted to the decision module."""
        for _, cause in verdict.witnesses:
            self.events.add(now, EventKind.VERDICT_APPLIED, cause, backend=verdict.backend, excluded=verdict.ejected)

    def verdicts(self, now: int) -> list[PeerVerdict]:
        """Return the verdicts on backends that follow from the reports of others."""
        return self.peer_health.verdicts(now)

    # Events

    def _detect_stall(self, now: int) -> None:
        late_us = self.membership.detect_stall(now)
        if late_us:
            self._backlog_until = now + int(BACKLOG_SHARE * late_us)
            self.events.add(now, EventKind.STALLED, self.events.new_cause(), ms=late_us // 1000)

    def _on_record(self, sender: int, stamp: int, record: Record, now: int) -> None:
        if isinstance(record, CountRow):
            if self.counts.merge(record):
                subject = (record.agent, record.incarnation, record.tenant, record.request_class, record.carried)
                self._count_updates.add(subject, record)
        elif isinstance(record, LeaseRequest):
            self._on_lease_request(sender, stamp, record, now)
        elif isinstance(record, LeaseGrant):
            self._on_lease_grant(sender, record, now)
        elif isinstance(record, LeaseReturn):
            if record.budget in self.escrows:
                self.escrows[record.budget].handle_return(sender, stamp >> REFUTATION_BITS, record.nonce)
        elif isinstance(record, HealthReport):
            self._on_health_report(record, now)
        else:
            self.membership.on_record(sender, record, now)

    def _on_health_report(self, report: HealthReport, now: int) -> None:
        if now < self._backlog_until:
            return  # it may have waited during a stall, so its age is unknown
        claim = self.peer_health.on_report(report, now)
        if claim is None:
            return
        self.events.add(
            now,
            EventKind.REPORT_RECEIVED,
            claim.cause,
            backend=self.peer_health.name_of(claim.backend),
            witness=claim.witness,
            verdict=claim.health.label,
        )
        if self.peer_health.should_spread(claim, now):
            self._spread_claim(claim, claim.record(now))

    def _spread_claim(self, claim: Claim, record: HealthReport) -> None:
        if claim.backend == ALL_BACKENDS:
            self.updates.drop_subjects("health", claim.witness)
        self.updates.add(("health", claim.witness, claim.backend), record)

    def _on_lease_request(self, sender: int, stamp: int, request: LeaseRequest, now: int) -> None:
        escrow = self.escrows.get(request.budget)
        if escrow is None or now < self._backlog_until:
            return
        incarnation = stamp >> REFUTATION_BITS
        amount = escrow.handle_request(now, sender, incarnation, request.nonce, request.wanted)
        if amount:
            cause = self.events.new_cause()
            budget = BUDGETS[request.budget]
            self.events.add(now, EventKind.LEASE_GRANTED, cause, budget=budget, borrower=sender, amount=amount)
            self._outbox.send(sender, LeaseGrant(request.budget, request.nonce, incarnation, amount, cause))

    def _on_lease_grant(self, sender: int, grant: LeaseGrant, now: int) -> None:
        escrow = self.escrows.get(grant.budget)
        if escrow is None or grant.incarnation != self.incarnation:
            return
        if escrow.handle_grant(now, sender, grant.nonce, grant.amount):
            budget = BUDGETS[grant.budget]
            self.events.add(
                now, EventKind.LEASE_RECEIVED, grant.cause, budget=budget, lender=sender, amount=grant.amount
            )

    # Periods

    def _begin_period(self, now: int) -> None:
        earliest, latest = PERIOD_RANGE
        self._last_period_at = now
        self._period_from = now + int(earliest * self.settings.period_us)
        self._period_at = now + int(latest * self.settings.period_us)
        self._periods += 1
        alive = self.membership.alive()
        self._send_counts(alive)
        if alive and self._periods % ALIVE_VIEW_PERIODS == 0:
            self._outbox.send(self._rng.choice(alive), self.membership.alive_view())
        self._balance_budgets(alive, now)
        self._carry_counts(alive, now)
        self._update_size(now)

    def _send_counts(self, alive: list[int]) -> None:
        self._spread_own_counts(changed_only=True)
        if self._healed_periods:
            # Resent once for members that missed rows while this process considered them dead.
            if self._healed_periods == HEALED_PERIODS:
                self._spread_own_counts()
            self._healed_periods -= 1
        rediscovered = [member for member in self._rediscovered if self.membership.is_alive_or_suspect(member)]
        rediscovered = rediscovered[:HEALED_DATAGRAMS_PER_PERIOD]
        self._rediscovered = self._rediscovered[len(rediscovered) :] if self._healed_periods else []
        targets = rediscovered + self._rng.sample(alive, min(COUNT_DATAGRAMS_PER_PERIOD, len(alive)))
        # Datagrams with counts alone are sent only while there are new counts: each datagram wakes an idle agent, and
        # probes and their answers have space for rows that are sent again.
        for member in targets if self._count_updates else rediscovered:
            if rows := self._encoded_counts(MAX_RECORD_BYTES):
                self._ready.append((member, self.codec.encode(member, self.membership.stamp, rows)))

    def _balance_budgets(self, alive: list[int], now: int) -> None:
        """Return leases that are no longer needed, and request new or renewed ones."""
        for budget, escrow in self.escrows.items():
            escrow.has_duplicate = self.membership.has_duplicate
            for lender, nonce in escrow.return_unneeded(now):
                cause = (self.settings.own_number, 0)
                self.events.add(now, EventKind.LEASE_RETURNED, cause, budget=BUDGETS[budget], lender=lender)
                self._outbox.send(lender, LeaseReturn(budget, nonce))
            for lender in escrow.choose_lenders(now, alive, self._rng):
                self._nonce = (self._nonce + 1) % 2**32
                wanted = escrow.open_request(now, lender, self._nonce)
                if wanted:
                    self._outbox.send(lender, LeaseRequest(budget, self._nonce, min(wanted, 2**32 - 1)))

    def _carry_counts(self, alive: list[int], now: int) -> None:
        if len(alive) < len(self.membership.members):
            self._all_alive_since = 0
            return
        self._all_alive_since = self._all_alive_since or now
        if now - self._all_alive_since >= CARRY_DELAY_US:
            self.counts.carry_earlier()

    def _update_size(self, now: int) -> None:
        before = self.size.number
        members = [(member.heard_at, member.listed_agents) for member in self.membership.members.values()]
        if self.size.update(now, members):
            self.events.add(now, EventKind.FLEET_SIZE, self.events.new_cause(), before=before, after=self.size.number)

    def _spread_own_counts(self, changed_only: bool = False) -> None:
        for row in self.counts.own_rows():
            key = (row.tenant, row.request_class)
            if not changed_only or self._sent_counts.get(key) != row.values:
                self._sent_counts[key] = row.values
                self._count_updates.add((row.agent, row.incarnation, *key, False), row)

    def _encoded_counts(self, free_bytes: int) -> list[bytes]:
        """Return new rows, then others in round-robin order, so that members that were isolated receive all rows."""
        rows = self._count_updates.take(free_bytes)
        free_bytes -= sum(map(len, rows))
        for row in self.counts.next_rows(ROWS_PER_DATAGRAM) if free_bytes >= MIN_ROW_BYTES else ():
            encoded = encode(row)
            if len(encoded) <= free_bytes and encoded not in rows:
                rows.append(encoded)
                free_bytes -= len(encoded)
        return rows

    def _finish_event(self, now: int) -> None:
        """Process the state changes of members, and pack the queued records into datagrams."""
        for change in self.membership.changes:
            self._on_state_change(change, now)
        self.membership.changes = []
        for member, records in self._outbox.pack():
            self._ready.append((member, self.codec.encode(member, self.membership.stamp, records)))

    def _on_state_change(self, change: StateChange, now: int) -> None:
        self.changes.append(change)
        self.events.add(
            now,
            EventKind.MEMBER,
            change.cause,
            member=change.member,
            before=change.before.name.lower(),
            after=change.after.name.lower(),
            by=change.by,
        )
        if change.after in (MemberState.DEAD, MemberState.LEFT):
            self.peer_health.forget_witness(change.member)
        elif change.before is MemberState.DEAD:
            self._healed_periods = HEALED_PERIODS
            self._rediscovered.append(change.member)
            soon = max(now, self._last_period_at + self.settings.period_us // 4)
            self._period_from = self._period_at = min(self._period_at, soon)

    # For operators

    def describe(self, now: int) -> dict[str, object]:
        """Return the response of the admin API to `peers`, without the state of the socket."""
        membership = self.membership
        return {
            "me": self.settings.own_number,
            "life": membership.stamp >> REFUTATION_BITS,
            "incarnation": _refutations(membership.stamp),
            "doubt": membership.health_score,
            "doubled": membership.has_duplicate,
            "cut_off": membership.is_isolated(now),
            "siblings": {"told": self.size.configured, "named": self.settings.agents, "used": self.size.number},
            "members": [
                {
                    "number": number,
                    "state": member.state.name.lower(),
                    "since_s": round((now - member.since) / 1e6, 1) if member.since else None,
                    "heard_s": round((now - member.heard_at) / 1e6, 1) if member.heard_at else None,
                    "life": member.stamp >> REFUTATION_BITS,
                    "incarnation": _refutations(member.stamp),
                    "cause": list(member.cause),
                }
                for number, member in membership.members.items()
            ],
            "budgets": {
                BUDGETS[budget]: {
                    "right": escrow.right(now).amount / SHARE_UNITS,
                    "lent": escrow.lent(now) / SHARE_UNITS,
                    "held": escrow.borrowed(now) / SHARE_UNITS,
                    "need": escrow.need / SHARE_UNITS,
                }
                for budget, escrow in self.escrows.items()
            },
            "judgements": [
                {
                    "backend": verdict.backend,
                    "verdict": verdict.health.label,
                    "excluded": verdict.ejected,
                    "until_s": round((verdict.until - now) / 1e6, 1),
                    "witnesses": [{"member": member, "cause": list(cause)} for member, cause in verdict.witnesses],
                }
                for verdict in self.verdicts(now)
            ],
            "counts": dict(zip(NAMES, self.counts.total(), strict=True)),
            "dropped": {reason.value: number for reason, number in self.codec.dropped.items()},
            "stood_still_s": round(membership.stalled_us / 1e6, 3),
        }


def _refutations(stamp: int) -> int:
    return stamp & (1 << REFUTATION_BITS) - 1
