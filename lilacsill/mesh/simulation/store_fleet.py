"""The core machines of a deployment in virtual time, and operators who call them until they get a clear answer."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Message, Patch, Reply
from lilacsill.mesh.store.leaving import PlannedDeparture
from lilacsill.mesh.store.node import DiskContents, Store, StoreSettings

from .network import MS, SECOND, Machine, Net

CALL_US = 1 * SECOND
LONGEST_UP_US = 10_000 * SECOND  # a machine's steady clock shows at most so much as its day begins


class RuleBroken(AssertionError):
    """A rule is."""


class Fleet:
    """So many core machines; `lost` of them may be lost at once."""

    def __init__(
        self, seed: int, cores: int = 3, lost: int = 1, sync_us: int = 2 * MS, places: int = 0, drift: float = 0.0
    ) -> None:
        """Start all machines.

        Args:
            seed: All chance is drawn from it.
            cores: How many machines there are.
            lost: How many of them may be lost at once.
            sync_us: The least that a disk takes for a sync; twice that at most.
            places: How many zones may be lost whole.
            drift: Steady clocks go so much faster or slower, and each counts from a time of its own.
        """
        self.net, self.lost, self._places = Net(seed, 500), lost, places
        self.rng = Random(seed ^ 0x5EED)
        self.seeds = [f"10.0.0.{i + 1}:1" for i in range(min(3, cores))]
        self._sync_us, self._drift = sync_us, drift
        self.rotates_seeds = False  # a later start is told of machines that are there then
        self.stores: dict[str, Store] = {}
        self._strangers = 0
        for i in range(cores):
            self.add(f"10.0.0.{i + 1}:1", fresh=True)

    def add(self, address: str, fresh: bool = False) -> None:
        """Add a machine, and start its store."""
        self.net.machines[address] = Machine(self.net, address, self._sync_us)
        self.start(address, fresh)

    def start(self, address: str, fresh: bool = False) -> None:
        """Start the store of a machine with what is on its disk."""
        machine = self.net.machines[address]
        if machine.up:
            return
        if self._drift and (machine.without_power or not machine.run_number):
            machine.clock_offset = self.rng.randrange(LONGEST_UP_US)
            machine.clock_rate = 1 + self._drift * (2 * self.rng.random() - 1)
        machine.begin()
        self._strangers += 1
        seeds = self.seeds
        if self.rotates_seeds and not fresh:
            seeds = self.rng.sample(sorted(self.stores), min(3, len(self.stores)))
        store = self.stores[address] = Store(
            machine,
            StoreSettings(address, seeds, fresh, f"s{self._strangers}", self.lost, self._places),
            DiskContents(list(machine.disk.items.values()), dict(machine.disk.facts)),
        )
        machine.handlers = store.handlers
        store.start()

    def remove(self, address: str) -> None:
        """Take a machine away for good."""
        self.net.machines[address].end(power=True)
        del self.net.machines[address]
        del self.stores[address]

    def terminate(self, address: str, grace_us: int, ended: Callable[[], None]) -> None:
        """As a SIGTERM does; `ended` right after the process has."""
        machine, store = self.net.machines[address], self.stores[address]

        def stop() -> None:
            machine.end(power=False)
            ended()

        PlannedDeparture(store.replica, store.membership, grace_us, stop)

    def up(self) -> list[str]:
        """Return the addresses of the machines that run."""
        return [a for a, machine in self.net.machines.items() if machine.up]


class Operator:
    """Sends calls until each is taken, and keeps the ledger."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.net = fleet, fleet.net
        self.address = f"operator-{name}"
        self.machine = self.net.machines.setdefault(self.address, Machine(self.net, self.address, 1))
        self.machine.begin()
        self.acked: dict[str, int] = {}  # route: newest acknowledged version
        self.acks = 0
        self.last_ack_at = 0
        self.last_acker = ""
        self.on_ack: Callable[[], None] = lambda: None

    def call(self, body: dict[str, Any], done: Callable[[int], None] = lambda status: None) -> None:
        """Until a clear answer comes."""
        data = msgspec.json.encode(body)
        last = ""

        def send() -> None:
            nonlocal last
            up = [a for a in self.fleet.up() if a in self.fleet.stores]
            if not up:
                return self.net.time.after(200 * MS, send)
            to = last = self.fleet.rng.choice([a for a in up if a != last] or up)  # callers move on
            self.machine.ask(to, Patch(data, 0), CALL_US, lambda message: answered(to, message))
            return None

        def answered(to: str, message: Message | None) -> None:
            if not isinstance(message, Reply) or message.status >= 500:
                return self.net.time.after(100 * MS + self.fleet.rng.randrange(200 * MS), send)
            self.last_acker = to
            done(message.status)
            return None

        send()


def route(name: str, version: int, prefix: str, service: str = "s") -> dict[str, Any]:
    """Return a route as an operator's call names it."""
    return {
        "Name": name,
        "ConfigVersion": f"r{version}",
        "RouteKind": "read_only",
        "TargetMs": 100,
        "Rank": 1,
        "When": {"PathPrefix": prefix},
        "Then": {"TargetService": service, "TimeoutMs": 1000, "MaxTries": 2},
    }


def put(rules: list[dict[str, Any]], drops: list[tuple[str, int]] = [], first: bool = False) -> dict[str, Any]:  # noqa: B006
    """Return an operator's call that sets routes and drops others; `first`: with the service and the limits."""
    body: dict[str, Any] = {"ReplaceItems": {"Listeners": [{"Host": "h.example", "Policy": rules}]}}
    if first:
        body["ReplaceItems"]["Groups"] = [{"Name": "s", "ConfigVersion": "r1", "HealthPath": "/h", "MaxConnections": 9}]
        body["ReplaceItems"]["Limits"] = {"ConfigVersion": "r1", "MaxHeaderBytes": 16384}
    if drops:
        body["RemoveItems"] = {"Routing": [{"Name": n, "ConfigVersion": f"r{v}"} for n, v in drops]}
    return body


def begun(seed: int, routes: list[dict[str, Any]] | None = None, **fleet: Any) -> tuple[Fleet, Operator]:
    """A fleet, made as `Fleet` tells, and an operator whose first call is acknowledged (route r, unless told)."""
    made = Fleet(seed, **fleet)
    operator, done = Operator(made, "a"), list[int]()
    operator.call(put(routes or [route("r", 1, "/r/")], first=True), done.append)
    made.net.time.run(made.net.time.now + 4 * SECOND)
    if done != [200]:
        raise RuleBroken(f"the first call is not acknowledged: {done}")
    return made, operator
