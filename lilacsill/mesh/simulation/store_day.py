"""The core machines of a deployment, their operators and followers, and faults by seed; the rules judge from outside.

Judged, from RULES.md: what was acknowledged is there, with what was sent, whatever was lost within `Survive`; nothing
invalid is ever in force or acknowledged; who follows never sees an item go back, and a read that began after an
acknowledgement has it; and the chain mends: once faults are over, calls are acknowledged again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Departure, Follow, FollowReply, Message, Read, Reply

from .network import MS, S
from .store_fleet import CALL_US, Fleet, Operator, RuleBroken, put, route

FAULTS = (
    "kill",
    "power",
    "wipe",
    "cut",
    "one_way",
    "freeze",
    "stall",
    "all",
    "leave",
    "spare",
    "slow",
    "after_ack",
    "after_ack",
)
FAULTS_A_DAY, READS, CHANGES = 6, 12, 24
ACTS = FAULTS_A_DAY + READS + CHANGES


class Ledger:
    """What was sent and what was acknowledged."""

    def __init__(self) -> None:
        self.sent: dict[tuple[str, int], Any] = {}  # route and version: body; None: dropped
        self.acked: dict[str, int] = {}
        self.invalid: set[str] = set()

    def acknowledged(self, routes: dict[str, int]) -> None:
        for name, version in routes.items():
            self.acked[name] = max(version, self.acked.get(name, -1))

    def judge(self, layout: Any, acked: dict[str, int], where: str) -> None:
        """A read against what had been acknowledged when it began."""
        found: dict[str, Any] = {}
        places: dict[tuple[str, str], str] = {}
        services = {s["Name"] for s in layout.get("Groups", [])}
        for listener in layout.get("Listeners", []):
            for rule in listener["Policy"]:
                found[rule["Name"]] = rule
                other = places.setdefault((listener["Host"], rule["When"]["PathPrefix"]), rule["Name"])
                if other != rule["Name"]:
                    raise RuleBroken(f"{where}: {other} and {rule['Name']} at one place")
                if rule["Then"]["TargetService"] not in services:
                    raise RuleBroken(f"{where}: {rule['Name']} goes to nobody")
        for name in found:
            if name in self.invalid:
                raise RuleBroken(f"{where}: {name} was refused and is in force")
        for name, version in acked.items():
            rule = found.get(name)
            if rule is not None:
                held = int(rule["ConfigVersion"][1:])
                if held < version:
                    raise RuleBroken(f"{where}: {name} is {held}, acknowledged was {version}")
                if self.sent.get((name, held)) != rule:
                    raise RuleBroken(f"{where}: {name} is not what was sent")
            elif not any(n == name and v >= version and body is None for (n, v), body in self.sent.items()):
                raise RuleBroken(f"{where}: {name} is missing, acknowledged was {version}")


class Day:
    """One schedule: two operators, a follower, faults; then quiet, and the last reads."""

    def __init__(self, seed: int, cores: int = 3, lost: int = 1, keep: Collection[int] = range(ACTS)) -> None:
        """`keep`: the numbers of the acts that are played, for a schedule that was made shorter."""
        self.rng = Random(seed)
        # A fast disk has all that a slow one is still at when an acknowledgement comes too early.
        self.fleet = Fleet(seed, cores, lost, self.rng.choice((2, 8)) * MS)
        self.net = self.fleet.net
        self.ledger = Ledger()
        self.operators = [Operator(self.fleet, "a"), Operator(self.fleet, "b")]
        self.version = 1
        self.names = [f"route{i}" for i in range(6)]
        self._seed, self._keep = seed, keep
        self.story: list[str] = []
        self.lost: set[str] = set()  # machines that count as lost now
        self.acks = self.reads = 0
        self.longest_us = 0  # without an acknowledgement while a call waited
        self._followed: dict[str, int] = {}
        self._on_ack: list[Callable[[str], None]] = []
        self._until = 0  # no fault begins later

    def play(self, length_us: int = 20 * S) -> None:
        time = self.net.time
        first = put([route(n, 1, f"/{n}/") for n in self.names], first=True)
        for name in self.names:
            self.ledger.sent[name, 1] = first["ReplaceItems"]["Listeners"][0]["Policy"][self.names.index(name)]
        self.operators[0].call(first, lambda status: self._acked(status, dict.fromkeys(self.names, 1)))
        time.run(time.now + 3 * S)
        if not self.acks:
            raise RuleBroken("the first call is not acknowledged")
        until = self._until = time.now + length_us
        for number in range(ACTS):
            when = time.now + self.rng.randrange(length_us)
            if number in self._keep:
                time.at(when, self._act, number)
        self._follow(self.operators[1])
        time.run(until + 9 * S)
        self._quiet_call()
        # The closing fault: right after one more call was acknowledged.
        self._on_ack = [self._after_ack]
        self._quiet_call()
        time.run(time.now + 5 * S)
        self._quiet_call()
        reads = self.reads
        self._read()
        time.run(time.now + 4 * S)
        if self.reads == reads:
            raise RuleBroken("nothing is read after all is quiet")

    def _act(self, number: int) -> None:
        """Each with a chance of its own, so that a shorter schedule does the same with what is left."""
        self.rng = Random(self._seed * ACTS + number)
        if number < FAULTS_A_DAY:
            self._fault(self.rng.choice(FAULTS))
        elif number < FAULTS_A_DAY + READS:
            self._read()
        else:
            self._change()

    def _quiet_call(self) -> None:
        before = self.acks
        self._change(valid=True)
        self.net.time.run(self.net.time.now + 4 * S)
        if self.acks == before:
            raise RuleBroken("no call is acknowledged after all is quiet")

    # What operators do

    def _change(self, valid: bool = False) -> None:
        self.version += self.rng.randrange(1, 4)
        version, operator = self.version, self.rng.choice(self.operators)
        name = self.rng.choice(self.names)
        kind = self.rng.random()
        if kind < 0.15 and not valid:
            bad = route(f"bad{version}", version, f"/{name}/")  # the place of another, unless that one is dropped
            good = route(name, version, f"/{name}/")
            self.ledger.invalid.add(bad["Name"])
            operator.call(put([good, bad]), lambda status: self._refused(status, bad["Name"]))
            return
        if kind < 0.3:
            self.ledger.sent[name, version] = None
            body = put([], [(name, version)])
        else:
            rule = route(name, version, f"/{name}/")
            self.ledger.sent[name, version] = rule
            body = put([rule])
        asked = self.net.time.now
        operator.call(body, lambda status: self._acked(status, {name: version}, asked, operator))

    def _refused(self, status: int, name: str) -> None:
        if status == 200:
            raise RuleBroken(f"{name}: invalid and acknowledged")

    def _acked(self, status: int, routes: dict[str, int], asked: int = 0, operator: Operator | None = None) -> None:
        if status != 200:
            raise RuleBroken(f"a valid call is refused: {status} {routes}")
        self.acks += 1
        self.longest_us = max(self.longest_us, self.net.time.now - asked if asked else 0)
        self.ledger.acknowledged(routes)
        for call in self._on_ack:
            call(operator.last_acker if operator is not None else "")
        self._on_ack = []

    def _read(self) -> None:
        up = [a for a in self.fleet.up() if a in self.fleet.stores]
        if not up:
            return
        acked = dict(self.ledger.acked)
        to = self.rng.choice(up)

        def answered(m: Message | None) -> None:
            if isinstance(m, Reply) and m.status == 200:
                self.reads += 1
                self.ledger.judge(msgspec.json.decode(m.body), acked, f"read at {to}")
            else:
                self.net.time.after(300 * MS, self._read)

        self.operators[0].machine.ask(to, Read(0), CALL_US, answered)

    def _follow(self, operator: Operator) -> None:
        """As registries do, at one machine after the other."""
        up = [a for a in self.fleet.up() if a in self.fleet.stores]
        if not up:
            return self.net.time.after(200 * MS, self._follow, operator)
        to = self.rng.choice(up)
        acked = dict(self.ledger.acked)
        seq = self._followed.get("seq", 0)

        def answered(m: Message | None) -> None:
            if isinstance(m, FollowReply) and m.update is not None:
                if m.update.seq < seq:
                    raise RuleBroken(f"{to} is sure of {m.update.seq}, {seq} was seen before")
                for item in m.update.items:
                    if item.kind == "route":
                        self._followed[item.name] = max(item.version, self._followed.get(item.name, -1))
                self._followed["seq"] = m.update.seq
                for name, version in acked.items():
                    if self._followed.get(name, -1) < version:
                        raise RuleBroken(f"{to} is sure, and {name} is older than {version}")
                self.net.time.after(20 * MS, self._follow, operator)
            else:
                self.net.time.after(100 * MS, self._follow, operator)

        operator.machine.ask(to, Follow(seq, 300, 0), 900 * MS, answered)

    # Faults, within what may be lost at once

    def _fault(self, kind: str) -> None:
        stores = [a for a in self.fleet.up() if a in self.fleet.stores and a not in self.lost]
        time = self.net.time
        if time.now > self._until:
            return
        if kind == "all":
            if self.lost or not stores:
                return time.after(1 * S, self._fault, kind)
            self.story.append(f"{time.now} all killed")
            for address in stores:
                self._lose(address, 0)
                self.net.machines[address].end(power=self.rng.random() < 0.5)
                time.after(500 * MS + self.rng.randrange(500 * MS), self._back, address)
            return
        if kind == "spare":
            if len(self.net.machines) < 8:
                address = f"10.0.1.{len(self.net.machines)}:1"
                self.story.append(f"{time.now} spare {address}")
                self.fleet.add(address)
            return
        if len(self.lost) >= self.fleet.lost or not stores:
            return time.after(1 * S, self._fault, kind)
        members = [m.address for m in self.fleet.stores[stores[0]].replica.view.members if m.address in stores]
        address = self.rng.choice(members or stores)
        if kind == "after_ack":
            self._on_ack = [*self._on_ack, lambda acker: self._after_ack(acker)]
            return
        for_us = 500 * MS + self.rng.randrange(3 * S)
        self.story.append(f"{time.now} {kind} {address} for {for_us}")
        self._lose(address, for_us)
        machine = self.net.machines[address]
        if kind in ("kill", "power", "wipe"):
            machine.end(power=kind != "kill")
            if kind == "wipe":
                machine.disk.wiped()
            time.after(for_us, self._back, address)
        elif kind in ("cut", "one_way"):
            others = {a for a in self.net.machines if a in self.fleet.stores} - {address}
            sides = ({address}, others) if self.rng.random() < 0.5 else (others, {address})
            cut = self.net.cut(*sides, one_way=kind == "one_way")
            time.after(for_us, self._healed, address, cut)
        elif kind == "freeze":
            machine.frozen_until = time.now + for_us
            time.after(for_us, self._found, address)
        elif kind == "stall":
            machine.disk.stall(for_us)
            time.after(for_us, self._found, address)
        elif kind == "slow":
            self.net.slow[address] = self.rng.choice((50, 200, 600)) * MS
            time.after(for_us, self._quick, address)
        elif kind == "leave":
            self.fleet.stores[address].replica.departure = Departure.PLANNED
            time.after(3 * S, self._left, address)

    def _after_ack(self, acker: str) -> None:
        """Within 4 ms: the machine that acknowledged, or its disk too and perhaps all others dark, or all."""
        if self.lost or acker not in self.fleet.stores:
            return
        time = self.net.time
        how = self.rng.choice(("dark", "wiped", "wiped, all dark", "all dark"))
        self.story.append(f"{time.now} after ack {acker} {how}")
        self._lose(acker, 0)

        def strike() -> None:
            machine = self.net.machines[acker]
            machine.end(power=True)
            if "wiped" in how:
                machine.disk.wiped()
            if "all" in how:
                for other in [a for a in self.fleet.up() if a in self.fleet.stores]:
                    self._lose(other, 0)
                    self.net.machines[other].end(power=True)
                    time.after(1 * S + self.rng.randrange(S), self._back, other)
            time.after(1 * S + self.rng.randrange(S), self._back, acker)

        time.after(self.rng.randrange(4 * MS), strike)

    def _lose(self, address: str, for_us: int) -> None:
        self.lost.add(address)

    def _back(self, address: str) -> None:
        if address in self.net.machines:
            self.fleet.start(address)
            self._found(address)

    def _found(self, address: str) -> None:
        """It counts as lost for 4 s more: CatchUpS."""
        self.net.time.after(4 * S, self.lost.discard, address)

    def _healed(self, address: str, cut: set[tuple[str, str]]) -> None:
        self.net.heal(cut)
        self._found(address)

    def _quick(self, address: str) -> None:
        self.net.slow.pop(address, None)
        self._found(address)

    def _left(self, address: str) -> None:
        """Stopped in order, and started again."""
        machine = self.net.machines.get(address)
        if machine is not None and machine.up:
            machine.end(power=False)
            self.net.time.after(500 * MS, self._back, address)
