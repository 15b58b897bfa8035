"""Stores, registries and proxies in virtual time, with cuts by machine, and a judge of what is served as current.

The registries' and proxies' own code runs; only their sockets are replaced. The judge knows what operators were told:
whoever calls its configuration current must hold each change that was acknowledged longer ago than its bound.
"""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

import msgspec
import pytest

from lilacsill.address import Address
from lilacsill.mesh.proxy import discovery
from lilacsill.mesh.proxy.backend_lifecycle import BackendLifecycle
from lilacsill.mesh.proxy.known_endpoints import KnownEndpoints
from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.registry import process as registries
from lilacsill.mesh.runtime.freshness import known_true_at
from lilacsill.mesh.runtime.messages import Follow, FollowReply, Heartbeat, Item, Message, Patch, Read, Reply
from lilacsill.mesh.runtime.settings import Settings, TimingBounds
from lilacsill.mesh.simulation.network import MS, Machine, SECOND
from lilacsill.mesh.simulation.store_fleet import RuleBroken, begun, put, route

NO_NEWS, FOLLOW_MS = 1 << 40, 300  # a question that is answered when its wait is over
LOOK_US, WRITE_US, RETRY_US, FOLLOW_US, CALL_US = 5 * MS, 20 * MS, 60 * MS, 50 * MS, 1 * SECOND
# What each may call current: a change acknowledged before that must be in it. One part in 100 is for clocks.
BOUND_US = {"store": 0, "registry": 909 * MS, "proxy": 1_919 * MS}


class Acknowledgement(NamedTuple):
    """What an operator was told."""

    at: int
    version: int  # of the route
    seq: int  # of that change


class Sockets:
    """Stands for `RpcClientPool` and `RpcServer`: questions go over the machine's virtual links."""

    def __init__(
        self, reactor: Reactor, address: Address | None = None, handlers: Any = None, limits: Any = None
    ) -> None:
        self._machine = reactor.machine
        if handlers is not None:
            self._machine.handlers = handlers

    def client(self, address: Address) -> SimpleNamespace:
        def request(message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
            self._machine.ask(f"{address.host}:{address.port}", message, timeout_us, answered)

        return SimpleNamespace(request=request)


class Reactor:
    """The clock and timers of one process on a machine."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.now, self.after, self.call_soon = machine.now, machine.after, machine.call_soon

    def ask(self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        self.machine.ask(address, message, timeout_us, answered)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        pass


def settings_of(ip: str, seeds: list[str]) -> Settings:
    hosts = tuple(Address(s.partition(":")[0], 8) for s in seeds)
    listen = {"ControlPort": Address(ip, 8)}
    timing = TimingBounds()
    return Settings(
        "", ip, "z", ip, (0, 9), hosts, True, True, 1, 0, "", 0, timing, listen, None, "s", 300, 999, 1e3, 0
    )


class ControlPlane:
    """Core machines with a store and a registry each, and proxies."""

    def __init__(self, patch: pytest.MonkeyPatch, seed: int = 1, cores: int = 3, lost: int = 1) -> None:
        patch.setattr(registries, "RpcClientPool", Sockets)
        patch.setattr(registries, "RpcServer", Sockets)
        patch.setattr(registries, "ControlServer", lambda reactor, address, handle, **options: SimpleNamespace())
        self.fleet, _ = begun(seed, cores=cores, lost=lost)
        self.net, self.time, self.stores = self.fleet.net, self.fleet.net.time, self.fleet.stores
        self.registries: dict[str, registries.Process] = {}
        self.proxies: dict[str, discovery.DiscoveryClient] = {}
        self.acked = [Acknowledgement(0, 1, 0)]
        self.writers: list[str] = []  # the machines that the operator calls
        self._version = 1
        self._refusing = False
        for store in [*self.stores]:
            self._refuse_behind_cuts(self.net.machines[store])
            ip = store.partition(":")[0]
            reactor: Any = Reactor(self._machine(f"{ip}:0"))
            self.registries[ip] = registries.Process(settings_of(ip, self.fleet.seeds), reactor)

    def _machine(self, address: str) -> Machine:
        machine = self.net.machines[address] = Machine(self.net, address, 1)
        machine.begin()
        self._refuse_behind_cuts(machine)
        return machine

    def proxy(self, ip: str) -> None:
        reactor: Any = Reactor(self._machine(f"{ip}:0"))
        table = SimpleNamespace(remove=lambda node: None, update=lambda endpoint, now: None)
        links = SimpleNamespace(close_idle=lambda address: None)
        upstreams: Any = SimpleNamespace(tables={}, table=lambda service: table, proxy_count=1, links=links)
        settings = settings_of(ip, self.fleet.seeds)
        self.proxies[ip] = discovery.DiscoveryClient(
            settings, reactor, ActiveConfig(), BackendLifecycle(0), KnownEndpoints(ip, upstreams), set(), lambda: None
        )
        self.proxies[ip].start()

    @property
    def members(self) -> list[str]:
        """Addresses of the stores in the newest view, head first."""
        newest = max((s.replica.view for s in self.stores.values()), key=lambda v: v.number)
        return [m.address for m in newest.members]

    # Faults

    def partition(self, ips: set[str], way: str, length_us: int) -> None:
        """These machines from all others: silent, refused, or in one direction."""
        inside = {a for a in self.net.machines if a.partition(":")[0] in ips}
        outside = {a for a in self.net.machines if not a.startswith("operator") and a not in inside}
        sides = (outside, inside) if way == "in" else (inside, outside)
        self._refusing = way == "refused"
        self.time.after(length_us, self.net.heal, self.net.partition(*sides, one_way=way in ("in", "out")))

    def _refuse_behind_cuts(self, machine: Machine) -> None:
        """In a cut that refuses, a question fails at once."""
        asked = machine.ask

        def ask(address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
            if self._refusing and (machine.address, address) in self.net.partitions:
                return machine.call_soon(answered, None)
            asked(address, message, timeout_us, answered)

        setattr(machine, "ask", ask)  # noqa: B010 - a method of the class cannot be assigned to

    def freeze(self, address: str, length_us: int) -> None:
        self.net.machines[address].frozen_until = self.time.now + length_us

    def freeze_at_a_heartbeat(self, address: str, length_us: int) -> None:
        """Right after it has asked the others: their answers are what it wakes with."""
        machine = self.net.machines[address]
        asked = machine.ask

        def ask(to: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
            asked(to, message, timeout_us, answered)
            if isinstance(message, Heartbeat) and machine.frozen_until == 0:
                self.freeze(address, length_us)

        setattr(machine, "ask", ask)  # noqa: B010

    # Operators

    def write(self) -> None:
        """One change after the other, without end, to the machines in `writers`."""
        self._version += 1
        self._write(self._version, 0)

    def _write(self, version: int, tries: int) -> None:
        body = msgspec.json.encode(put([route("r", version, "/r/")]))
        to = self.writers[tries % len(self.writers)]

        def answered(m: Message | None) -> None:
            if isinstance(m, Reply) and m.status == 200:
                known = [s.replica.state.items["route", "r"] for s in self.stores.values()]
                seq = next(i.seq for i in known if i.version == version)
                self.acked.append(Acknowledgement(self.time.now, version, seq))
                return self.time.after(WRITE_US, self.write)
            if isinstance(m, Reply) and m.status < 500:
                raise RuleBroken(f"a valid change is refused: {m.body!r}")
            self.time.after(WRITE_US, self._write, version, tries + 1)

        self._operator("w").ask(to, Patch(body, 0), RETRY_US, answered)

    def _operator(self, name: str) -> Machine:
        return self.net.machines.get(f"operator-{name}") or self._machine(f"operator-{name}")

    def orders(self, to: str, answered: Callable[[str, int, int], None]) -> None:
        """A change, an invalid one, one that changes nothing and a read: each status and how long it took."""
        bodies: dict[str, dict[str, Any]] = {
            "change": put([route("small", self._version, "/small/")]),
            "invalid": put([route("bad", self._version, "/bad/", service="nobody")]),
            "unreadable": {"ReplaceItems": 1},
            "again": put([route("r", 1, "/r/")]),
        }
        asked_at = self.time.now
        for name, message in [*((n, Patch(msgspec.json.encode(b), 0)) for n, b in bodies.items()), ("read", Read(0))]:

            def report(m: Message | None, name: str = name) -> None:
                answered(name, m.status if isinstance(m, Reply) else 503, self.time.now - asked_at)

            self._operator("o").ask(to, message, CALL_US, report)

    # The judge

    def acknowledged(self, before: int) -> Acknowledgement:
        """The newest by then."""
        return max(a for a in self.acked if a.at <= before)

    def _judge(self, kind: str, who: str, known: int) -> None:
        due = self.acknowledged(self.time.now - BOUND_US[kind]).version
        if known < due:
            raise RuleBroken(f"{self.time.now}: {kind} {who} calls r{known} current, r{due} was acknowledged")

    def check(self) -> None:
        """All the time: at whoever is awake and calls its configuration current."""
        self.time.after(LOOK_US, self.check)
        for address, store in self.stores.items():
            if self._awake(address) and store.replica.is_tail and store.chain.synced and store.membership.holds_lease():
                version = store.replica.state.version("route", "r")
                self._judge("store", address, -1 if version is None else version)
        for ip, registry in self.registries.items():
            if self._awake(f"{ip}:0") and registry._node.config.is_current:
                known: dict[tuple[str, str], Item] = registry._node.config.cache._items
                self._judge("registry", ip, known["route", "r"].version)
        for ip, proxy in self.proxies.items():
            if self._awake(f"{ip}:0") and proxy.is_config_current():
                self._judge("proxy", ip, proxy._config._versions["route", "r"])

    def _awake(self, address: str) -> bool:
        machine = self.net.machines[address]
        return machine.up and self.time.now >= machine.frozen_until

    def follow(self, to: str) -> None:
        """As a registry does, again and again; the date of each answer must be true."""
        asked_at = self.time.now

        def answered(m: Message | None) -> None:
            if isinstance(m, FollowReply) and m.update is not None:
                due = self.acknowledged(known_true_at(m.update.freshness, asked_at)).seq
                if m.update.seq < due:
                    raise RuleBroken(f"{self.time.now}: {to} tells {m.update.seq}, {due} was acknowledged by that date")

        self._operator("f").ask(to, Follow(NO_NEWS, FOLLOW_MS, 0), 9 * SECOND, answered)
        self.time.after(FOLLOW_US, self.follow, to)

    def begin(self, writers: list[str]) -> None:
        """Operators write, all is watched; a second passes."""
        self.writers = writers
        self.write()
        self.check()
        for address in self.stores:
            self.follow(address)
        self.run(2 * SECOND)
        if not all(p.is_config_current() for p in self.proxies.values()):
            raise RuleBroken("a proxy has no current configuration in calm times")

    def run(self, us: int) -> None:
        self.time.run(self.time.now + us)
