"""A fleet with a state of some size, its operator, what was acknowledged, and what must hold of all copies."""

from __future__ import annotations

from typing import Any

from lilacsill.mesh.runtime.messages import Replicate, decode
from lilacsill.mesh.simulation.network import MS, S
from lilacsill.mesh.simulation.store_fleet import Operator, RuleBroken, begun, put, route
from lilacsill.mesh.store.state import ConfigState


class Scene:
    """A fleet with a state of so many routes, its operator, and what was acknowledged."""

    def __init__(self, routes: int, seed: int = 4, **fleet: Any) -> None:
        self.names = [f"r{i}" for i in range(routes)]
        self.fleet, self.operator = begun(seed, [route(n, 1, f"/{n}/") for n in self.names], **fleet)
        self.net, self.time = self.fleet.net, self.fleet.net.time
        self.acked: dict[str, int] = dict.fromkeys(self.names, 1)
        self.version = 1
        self.acks = 0
        self._judged: dict[str, tuple[int, int]] = {}  # address: number and acknowledgements as of the last look
        self.view = next(iter(self.fleet.stores.values())).replica.view

    def at(self, place: int) -> str:
        """Address of a member of the first view."""
        return self.view.members[place].address

    def run(self, us: int) -> None:
        self.time.run(self.time.now + us)

    def change(self, count: int = 1, operator: Operator | None = None) -> None:
        """One call that sets so many routes anew; what is acknowledged is kept in mind."""
        self.version += 1
        named = [self.names[(self.version * 7 + i * 13) % len(self.names)] for i in range(count)]
        changed = dict.fromkeys(named, self.version)

        def answered(status: int) -> None:
            if status != 200:
                raise RuleBroken(f"a valid call is refused: {status}")
            self.acks += 1
            for name, version in changed.items():
                self.acked[name] = max(self.acked[name], version)

        body = put([route(n, v, f"/{n}/") for n, v in changed.items()])
        (operator or self.operator).call(body, answered)

    def changes(self, every_us: int, count: int) -> None:
        """One after the other, from now on."""
        for number in range(count):
            self.time.after(number * every_us, self.change)

    def lacking(self, state: ConfigState) -> list[str]:
        """What was acknowledged and is not there."""
        return [n for n, v in self.acked.items() if (held := state.version("route", n)) is None or held < v]

    def watch_leaders(self, until: int) -> None:
        """At every millisecond: who may give out numbers has all that was acknowledged."""
        for address in self.fleet.up():
            store = self.fleet.stores.get(address)
            if store is None or not store.chain.may_append or not store.membership.holds_lease():
                continue
            as_of = (store.replica.state.seq, self.acks)
            if self._judged.get(address) != as_of and self.lacking(store.replica.state):
                raise RuleBroken(f"{address} leads with an old state")
            self._judged[address] = as_of
        if self.time.now < until:
            self.time.after(MS, self.watch_leaders, until)

    def is_whole(self, address: str) -> bool:
        """In the chain, and known to have all."""
        store = self.fleet.stores[address]
        return (store.replica.is_tail or store.replica.successor is not None) and store.chain.synced

    def until_whole(self, address: str, within_us: int) -> int:
        """Microseconds until that member is whole."""
        began = self.time.now
        while not self.is_whole(address):
            if self.time.now - began > within_us:
                raise RuleBroken(f"{address} is not whole after {within_us // MS} ms")
            self.run(5 * MS)
        return self.time.now - began

    def settle(self, us: int = 4 * S) -> None:
        """After quiet all copies are the same, and nothing that was acknowledged is missing."""
        self.run(us)
        copies = [s.replica for a, s in self.fleet.stores.items() if self.net.machines[a].up]
        members = [c for c in copies if c.is_member]
        if len(members) < 3 or not all(c.complete for c in members):
            raise RuleBroken("a member is not whole")
        if len({c.state.digest() for c in members}) != 1 or len({c.state.seq for c in members}) != 1:
            raise RuleBroken("copies differ")
        if self.lacking(members[0].state):
            raise RuleBroken(f"lacking: {self.lacking(members[0].state)[:5]}")

    def restart(self, address: str, kept: int = -1, dark_us: int = 100 * MS) -> None:
        """Power goes; of what the disk was still to sync the first `kept` saves are there."""
        machine = self.net.machines[address]
        machine.end(power=False)
        machine.disk.power_lost(kept)
        self.time.after(dark_us, self.fleet.start, address)


class Sent:
    """Sizes of what goes down the chain to one machine."""

    def __init__(self, scene: Scene, address: str) -> None:
        self.total = self.largest = 0
        real = scene.net.send

        def send(a: str, b: str, data: bytes, back: Any) -> None:
            if b == address and isinstance(decode(data), Replicate):
                self.total += len(data)
                self.largest = max(self.largest, len(data))
            real(a, b, data, back)

        scene.net.send = send  # type: ignore[method-assign]
