"""A day of faults close together.

What is planned is a value that can be kept and made shorter; who judges it sees only what callers saw.
"""

from __future__ import annotations

from random import Random

import msgspec

from .callers import Follower, Prober, Reader, World
from .fault import Fault
from .faults import FaultInjector
from .history_judge import Bounds, Violation, judged
from .losses import Losses
from .network import MS, SECOND
from .orders import Orders, Request
from .store_fleet import Fleet, RuleBroken

ZONES = 3
DRIFT = 0.005  # of steady clocks, either way
FIRST_US = 4 * SECOND  # the first call is taken within this
SYNCS_US = (1 * MS, 2 * MS, 8 * MS)
QUIET_US = 3 * SECOND
LONGEST_LOSS_US = 90 * SECOND  # a trouble that lasts longer is an error of the day
CALL_WITHIN_US = 4 * SECOND  # AckWithinMs


class Plan(msgspec.Struct, frozen=True):
    """One day."""

    seed: int
    cores: int
    lost: int  # machines that may be lost at once
    zones: int = 0  # zones that may be lost whole
    catch_up_s: int = 4
    closing: str = ""  # how the day ends: "", killed, power, wiped, wiped oldest; each of them also timed
    faults: tuple[Fault, ...] = msgspec.field(name="troubles", default=())
    requests: tuple[Request, ...] = ()


class FaultDay:
    """Plays a plan."""

    def __init__(self, plan: Plan) -> None:
        self.plan, rng = plan, Random(plan.seed)
        self.fleet = Fleet(plan.seed, plan.cores, plan.lost, rng.choice(SYNCS_US), plan.zones, DRIFT)
        self.net, self.time = self.fleet.net, self.fleet.net.time
        self.net.sockets = self.fleet.rotates_seeds = True
        self.world = World(self.fleet, rng)
        self.losses = Losses(lambda: self.time.now, plan.lost, plan.zones, plan.catch_up_s * SECOND)
        self.orders = Orders(self.world)
        self.reader = Reader(self.world)
        last_ms = max([t.at_ms + t.for_ms for t in plan.faults], default=0)
        self._until = self.time.now + FIRST_US + last_ms * MS + plan.catch_up_s * SECOND
        self.faults = FaultInjector(self.world, self.losses, self._until)
        self.faults.effects.meet, self.faults.effects.race = self.orders.meet, self.orders.race
        self.faults.effects.joined = self._follow

    def play(self) -> None:
        """Raises RuleBroken, or what stopped a member."""
        time, plan = self.time, self.plan
        self.begin()
        for fault in plan.faults:
            time.at(time.now + fault.at_ms * MS, self.faults.begin, fault)
        for request in plan.requests:
            time.at(time.now + request.at_ms * MS, self.orders.do, request)
        time.run(self._until + QUIET_US)
        self.finish()

    def begin(self) -> None:
        """The first call is taken, and all callers are at work."""
        for number, address in enumerate(self.fleet.stores):
            self.losses.position(address, number % ZONES)
            self._follow(address)
        self.orders.first()
        self.time.run(self.time.now + FIRST_US)
        if not self.orders.taken:
            raise RuleBroken("the first call is not acknowledged")
        self.reader.read()
        Prober(self.world).ask()

    def finish(self) -> None:
        """All comes back; the closing fault; what was seen is judged."""
        self._recover()
        if "timed" in self.plan.closing:
            self._close()
        elif self.plan.closing:
            self.world.on_ack = [lambda acker: self._close()]
        if self.plan.closing:
            self._quiet_call()
            self._recover()
        self._judge()

    def _follow(self, address: str) -> None:
        if len(self.fleet.stores) <= 5 or address in self.fleet.seeds:
            Follower(self.world, address).ask()

    # After all is over

    def _recover(self) -> None:
        """All machines are back: full strength within `CatchUpS`, calls are taken, and a read is answered."""
        self.all_back()
        self._strength()
        self._quiet_call()
        since = self.time.now
        self.time.run(self.time.now + QUIET_US)
        if self.reader.read_at <= since:
            raise RuleBroken("nothing is read after all is quiet")
        if self.orders.open:
            raise RuleBroken(f"{self.orders.open} orders have no clear answer after all is quiet")

    def all_back(self) -> None:
        """Until no machine counts as lost."""
        until = self.time.now + LONGEST_LOSS_US
        while self.losses.lost():
            assert self.time.now < until, f"the day does not end: {self.losses.lost()} are lost"
            self.time.run(self.losses.free_at())

    def _quiet_call(self) -> None:
        before = self.orders.taken
        self.orders.meet("")
        self.time.run(self.time.now + CALL_WITHIN_US)
        if self.orders.taken == before:
            raise RuleBroken("no call is acknowledged after all is quiet")

    def _strength(self) -> None:
        """As many copies as there should be, all whole and alike. Looks into the copies, as `status` does."""
        stores = [self.fleet.stores[a] for a in self.fleet.up() if a in self.fleet.stores]
        newest = max((s.replica.view for s in stores), key=lambda view: view.number)
        wanted = len(stores) if self.plan.zones else min(len(stores), 2 * self.plan.lost + 1)
        members = [s for s in stores if s.replica.me in newest.members]
        if len(members) < wanted or any(s.replica.view != newest for s in members):
            raise RuleBroken(f"{len(members)} copies after CatchUpS, {wanted} should be there")
        if not all(s.replica.complete for s in members):
            raise RuleBroken("a copy is not whole after CatchUpS")
        if not self.orders.open and len({tuple(s.replica.state.digests) for s in members}) > 1:
            raise RuleBroken("copies differ after CatchUpS")

    def _close(self) -> None:
        how = self.plan.closing.replace("killed", "").strip()
        self.faults.close(Fault("herd", 0, 0, self.plan.seed, how=how))

    def _judge(self) -> None:
        violations = judged(self.world.history, Bounds())
        first: dict[str, Violation] = {}
        for violation in violations:
            first.setdefault(violation.rule, violation)
        if first:
            raise RuleBroken("; ".join(map(str, first.values())) + f" ({len(violations)} in all)")
