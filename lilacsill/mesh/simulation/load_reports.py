"""Proxies and the backends beside them in virtual time: the choice, the gates, the news of loads, and nothing else.

The tables and admission control are the product's own (`lilacsill.mesh.proxy.endpoint_table`,
`lilacsill.mesh.proxy.admission`); the way between two proxies is a delay. It tells how even the load is and how much
comes late, as nodes double from 8 to 400, and what news of loads could gain.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import mean, pvariance

import msgspec

from lilacsill.mesh.proxy.admission import AdmissionController, AdmissionRequest
from lilacsill.mesh.proxy.endpoint_table import EndpointLoad, EndpointTable
from lilacsill.mesh.runtime.messages import Endpoint, Load

from .network import MS, SECOND, Time

HOP_US = 1 * MS
SPEEDS = (0.6, 1.0, 1.4)
STEPS = 6


class Fair(msgspec.Struct, frozen=True):
    """One service. Times in milliseconds."""

    nodes: int = 24
    slots: int = 9
    work_ms: float = 300.0
    spread: float = 0.7  # sigma of the logarithm of a request's work
    aim_ms: int = 800
    use: float = 0.75  # of all slots, were the load even
    ahead: int = 3  # requests that a client sends at once, at most; answers go back in order
    update_ms: int = 0  # how often all tables are told what each backend holds; 0: never, as in the product
    lag_ms: int = 300
    length_s: int = 30
    warm_s: int = 5


@dataclass
class CreditRecord:
    """What came of it."""

    asked: int = 0
    overdue: int = 0
    refused: int = 0
    rejected: int = 0
    waited_us: list[int] = field(default_factory=list)
    known: list[float] = field(default_factory=list)  # variance over mean of what backends hold, by sample

    def report(self) -> dict[str, float]:
        """Shares of what was asked; `uneven`: variance over mean of what backends hold at a moment."""
        asked = max(1, self.asked)
        return {
            "late": round(self.overdue / asked, 4),
            "refused": round(self.refused / asked, 4),
            "turned": round(self.rejected / asked, 4),
            "uneven": round(mean(self.known), 3) if self.known else 0.0,
        }


class Batch:
    """What one client has sent at once: an answer counts when those before it are there."""

    def __init__(self, world: Environment, size: int) -> None:
        self._world, self._left = world, [True] * size
        self._began = world.time.now

    def ended(self, at: int, served: bool) -> None:
        """Record the end of the request that was sent as number `at`."""
        self._left[at] = False
        credit, now = self._world.credit, self._world.time.now
        while self._left and not self._left[0]:
            self._left.pop(0)
            self._world.shift(self)
            if self._world.counts:
                credit.asked += 1
                credit.refused += not served
                credit.overdue += served and now - self._began > self._world.fair.aim_ms * MS


class Environment:
    """One play."""

    def __init__(self, fair: Fair, seed: int, table: Callable[[Random], EndpointTable] = EndpointTable) -> None:
        self.fair, self.rng, self.time = fair, Random(seed), Time()
        self.credit = CreditRecord()
        self.gates = [AdmissionController() for _ in range(fair.nodes)]
        for gate in self.gates:
            gate.slots = fair.slots
        self._speeds = [SPEEDS[i % len(SPEEDS)] for i in range(fair.nodes)]
        self.tables = [table(Random(seed * 1000 + i)) for i in range(fair.nodes)]
        for made in self.tables:
            for i in range(fair.nodes):
                made.update(Endpoint(f"n{i}", 1, 1, "", 0, "", "s", f"i{i}", "ready", fair.slots, 0), self.time.now)
        self._attempts = 0
        self._offsets: dict[Batch, int] = {}
        self.usual_ms = int(fair.work_ms)

    @property
    def counts(self) -> bool:
        """Whether the caches of the fleet are warm, so that what happens now is measured."""
        return self.time.now > (self.fair.warm_s + 1) * SECOND

    def shift(self, batch: Batch) -> None:
        """Record that a batch of reports was sent on."""
        self._offsets[batch] = self._offsets.get(batch, 0) + 1

    def play(self) -> CreditRecord:
        """Run the whole time, and return what was measured."""
        fair, time = self.fair, self.time
        until = time.now + fair.length_s * SECOND
        for node in range(fair.nodes):
            self._arrive(node, until)
            if fair.update_ms:
                time.after(self.rng.randrange(fair.update_ms * MS), self._updates, node)
        time.after(fair.warm_s * SECOND, self._sample)
        time.run(until)
        return self.credit

    def _arrive(self, node: int, until: int) -> None:
        fair = self.fair
        rate = fair.use * fair.slots / (fair.work_ms / 1000) / ((1 + fair.ahead) / 2)  # batches a second at this node
        self.time.after(int(self.rng.expovariate(rate) * SECOND), self._arrive, node, until)
        if self.time.now >= until:
            return
        size = self.rng.randint(1, fair.ahead)
        batch = Batch(self, size)
        for at in range(size):
            Request(self, node, batch, at).next()

    def work_us(self, node: int) -> int:
        """Draw how long a request takes at a node, in microseconds."""
        spread = self.fair.spread
        work = self.rng.lognormvariate(-spread * spread / 2, spread) * self.fair.work_ms
        return int(work * self._speeds[node] * MS)

    def attempt(self) -> int:
        """Return the number of the next attempt."""
        self._attempts += 1
        return self._attempts

    def position(self, batch: Batch, at: int) -> int:
        """In what is left of the batch."""
        return at - self._offsets.get(batch, 0)

    def _updates(self, node: int) -> None:
        """What this backend holds now is known to all after the lag."""
        load = self.gates[node].load(self.time.now)
        as_of = self.time.now
        self.time.after(self.fair.lag_ms * MS, self._cry, node, load, as_of)
        self.time.after(self.fair.update_ms * MS, self._updates, node)

    def _cry(self, node: int, load: Load, as_of: int) -> None:
        for table in self.tables:
            entry = table.entries[f"n{node}"]
            if entry.reported_at is None or entry.reported_at <= as_of:
                entry.reported_requests, entry.reported_at = load.in_flight, as_of
                entry.slowdown = load.slowdown or entry.slowdown

    def _sample(self) -> None:
        known = [g.running + g.waiting for g in self.gates]
        if any(known):
            self.credit.known.append(pvariance(known) / mean(known))
        self.time.after(100 * MS, self._sample)


class Request:
    """From its client to a backend and back."""

    def __init__(self, world: Environment, node: int, batch: Batch, at: int) -> None:
        self._world, self._table, self._batch, self._at = world, world.tables[node], batch, at
        self._tried: list[EndpointLoad] = []
        self._aim_at = world.time.now + world.fair.aim_ms * MS
        self._entry: EndpointLoad | None = None
        self._number = 0

    def next(self) -> None:
        """Offer the request to the next endpoint, or give it up."""
        world, now = self._world, self._world.time.now
        entry = self._table.choose(now, self._tried) if len(self._tried) < STEPS else None
        if entry is None:
            return self._over(False)
        self._entry, self._number = entry, world.attempt()
        self._table.attempt_started(entry, self._number)
        world.time.after(HOP_US, self._offered, int(entry.endpoint.node[1:]))
        return None

    def _offered(self, node: int) -> None:
        world, gate = self._world, self._world.gates[node]
        until = self._aim_at - gate.durations.expected_us("r", world.usual_ms)
        ticket = AdmissionRequest(
            1, until, "r", lambda: self._begun(node, ticket), lambda reason: self._rejected(node), world.usual_ms
        )
        if gate.admit(ticket, world.time.now):
            self._rejected(node)

    def _begun(self, node: int, ticket: AdmissionRequest) -> None:
        world = self._world
        world.time.after(world.work_us(node), self._done, node, ticket)

    def _done(self, node: int, ticket: AdmissionRequest) -> None:
        world = self._world
        world.gates[node].finish(ticket, world.time.now, True)
        world.time.after(HOP_US, self._report, world.gates[node].load(world.time.now), True)

    def _rejected(self, node: int) -> None:
        world = self._world
        world.time.after(HOP_US, self._report, world.gates[node].load(world.time.now), False)

    def _report(self, load: Load, served: bool) -> None:
        assert self._entry is not None
        self._table.attempt_ended(self._entry, self._number, load, self._world.time.now)
        if served:
            return self._over(True)
        self._world.credit.rejected += self._world.counts
        self._tried.append(self._entry)
        self.next()
        return None

    def _over(self, served: bool) -> None:
        self._batch.ended(self._world.position(self._batch, self._at), served)
