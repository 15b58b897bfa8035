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

from .network import MS, SECOND
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
MAX_MACHINES = 8  # with spares
FAULTS_A_DAY, READS, CHANGES = 6, 12, 24
ACTS = FAULTS_A_DAY + READS + CHANGES


class CallRecord:
    """What was sent and what was acknowledged."""

    def __init__(self) -> None:
        self.sent: dict[tuple[str, int], Any] = {}  # route and version: body; None: dropped
        self.acked: dict[str, int] = {}
        self.invalid: set[str] = set()

    def acknowledged(self, routes: dict[str, int]) -> None:
        """Record the versions of routes that were acknowledged."""
        for name, version in routes.items():
            self.acked[name] = max(version, self.acked.get(name, -1))

    def judge(self, layout: Any, acked: dict[str, int], where: str) -> None:
        """Judge a read by what had been acknowledged when it began."""
        found = self._rules_of(layout, where)
        for name in found:
            if name in self.invalid:
                raise RuleBroken(f"{where}: {name} was refused and is in force")
        for name, version in acked.items():
            self._judge_route(name, version, found.get(name), where)

    @staticmethod
    def _rules_of(layout: Any, where: str) -> dict[str, Any]:
        """Return the rules of a read by name. No two may have one place, and each names a service that is there."""
        found: dict[str, Any] = {}
        places: dict[tuple[str, str], str] = {}
        services = {service["Name"] for service in layout.get("Groups", [])}
        for listener in layout.get("Listeners", []):
            for rule in listener["Policy"]:
                found[rule["Name"]] = rule
                other = places.setdefault((listener["Host"], rule["When"]["PathPrefix"]), rule["Name"])
                if other != rule["Name"]:
                    raise RuleBroken(f"{where}: {other} and {rule['Name']} at one place")
                if rule["Then"]["TargetService"] not in services:
                    raise RuleBroken(f"{where}: {rule['Name']} goes to nobody")
        return found

    def _judge_route(self, name: str, version: int, rule: Any, where: str) -> None:
        """Judge one route that was acknowledged with this version; `rule` is what was read, None if nothing was."""
        if rule is None:
            if not any(n == name and v >= version and body is None for (n, v), body in self.sent.items()):
                raise RuleBroken(f"{where}: {name} is missing, acknowledged was {version}")
            return
        known = int(rule["ConfigVersion"][1:])
        if known < version:
            raise RuleBroken(f"{where}: {name} is {known}, acknowledged was {version}")
        if self.sent.get((name, known)) != rule:
            raise RuleBroken(f"{where}: {name} is not what was sent")


class Day:
    """One schedule: two operators, a follower, faults; then quiet, and the last reads."""

    def __init__(self, seed: int, cores: int = 3, lost: int = 1, keep: Collection[int] = range(ACTS)) -> None:
        """`keep`: the numbers of the acts that are played, for a schedule that was made shorter."""
        self.rng = Random(seed)
        # A fast disk has all that a slow one is still at when an acknowledgement comes too early.
        self.fleet = Fleet(seed, cores, lost, self.rng.choice((2, 8)) * MS)
        self.net = self.fleet.net
        self.record = CallRecord()
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

    def play(self, length_us: int = 20 * SECOND) -> None:
        """Play the day. Raises RuleBroken, or what stopped a member."""
        time = self.net.time
        first = put([route(n, 1, f"/{n}/") for n in self.names], first=True)
        for name in self.names:
            self.record.sent[name, 1] = first["ReplaceItems"]["Listeners"][0]["Policy"][self.names.index(name)]
        self.operators[0].call(first, lambda status: self._acked(status, dict.fromkeys(self.names, 1)))
        time.run(time.now + 3 * SECOND)
        if not self.acks:
            raise RuleBroken("the first call is not acknowledged")
        until = self._until = time.now + length_us
        for number in range(ACTS):
            when = time.now + self.rng.randrange(length_us)
            if number in self._keep:
                time.at(when, self._act, number)
        self._follow(self.operators[1])
        time.run(until + 9 * SECOND)
        self._quiet_call()
        # The closing fault: right after one more call was acknowledged.
        self._on_ack = [self._after_ack]
        self._quiet_call()
        time.run(time.now + 5 * SECOND)
        self._quiet_call()
        reads = self.reads
        self._read()
        time.run(time.now + 4 * SECOND)
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
        self.net.time.run(self.net.time.now + 4 * SECOND)
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
            self.record.invalid.add(bad["Name"])
            operator.call(put([good, bad]), lambda status: self._refused(status, bad["Name"]))
            return
        if kind < 0.3:
            self.record.sent[name, version] = None
            body = put([], [(name, version)])
        else:
            rule = route(name, version, f"/{name}/")
            self.record.sent[name, version] = rule
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
        self.record.acknowledged(routes)
        for call in self._on_ack:
            call(operator.last_acker if operator is not None else "")
        self._on_ack = []

    def _read(self) -> None:
        up = [a for a in self.fleet.up() if a in self.fleet.stores]
        if not up:
            return
        acked = dict(self.record.acked)
        to = self.rng.choice(up)

        def answered(message: Message | None) -> None:
            if isinstance(message, Reply) and message.status == 200:
                self.reads += 1
                self.record.judge(msgspec.json.decode(message.body), acked, f"read at {to}")
            else:
                self.net.time.after(300 * MS, self._read)

        self.operators[0].machine.ask(to, Read(0), CALL_US, answered)

    def _follow(self, operator: Operator) -> None:
        """As registries do, at one machine after the other."""
        up = [a for a in self.fleet.up() if a in self.fleet.stores]
        if not up:
            return self.net.time.after(200 * MS, self._follow, operator)
        to = self.rng.choice(up)
        acked = dict(self.record.acked)
        seq = self._followed.get("seq", 0)

        def answered(message: Message | None) -> None:
            if isinstance(message, FollowReply) and message.update is not None:
                if message.update.seq < seq:
                    raise RuleBroken(f"{to} is sure of {message.update.seq}, {seq} was seen before")
                for item in message.update.items:
                    if item.kind == "route":
                        self._followed[item.name] = max(item.version, self._followed.get(item.name, -1))
                self._followed["seq"] = message.update.seq
                for name, version in acked.items():
                    if self._followed.get(name, -1) < version:
                        raise RuleBroken(f"{to} is sure, and {name} is older than {version}")
                self.net.time.after(20 * MS, self._follow, operator)
            else:
                self.net.time.after(100 * MS, self._follow, operator)

        operator.machine.ask(to, Follow(seq, 300, 0), 900 * MS, answered)
        return None

    # Faults, within what may be lost at once

    def _fault(self, kind: str) -> None:
        if self.net.time.now > self._until:
            return
        stores = [a for a in self.fleet.up() if a in self.fleet.stores and a not in self.lost]
        if kind == "all":
            self._kill_all(stores)
        elif kind == "spare":
            self._add_spare()
        elif len(self.lost) >= self.fleet.lost or not stores:
            self.net.time.after(1 * SECOND, self._fault, kind)
        else:
            self._strike(kind, self._member_of(stores))

    def _kill_all(self, stores: list[str]) -> None:
        time = self.net.time
        if self.lost or not stores:
            time.after(1 * SECOND, self._fault, "all")
            return
        self.story.append(f"{time.now} all killed")
        for address in stores:
            self.lost.add(address)
            self.net.machines[address].end(power=self.rng.random() < 0.5)
            time.after(500 * MS + self.rng.randrange(500 * MS), self._back, address)

    def _add_spare(self) -> None:
        if len(self.net.machines) < MAX_MACHINES:
            address = f"10.0.1.{len(self.net.machines)}:1"
            self.story.append(f"{self.net.time.now} spare {address}")
            self.fleet.add(address)

    def _member_of(self, stores: list[str]) -> str:
        view = self.fleet.stores[stores[0]].replica.view
        return self.rng.choice([member.address for member in view.members if member.address in stores] or stores)

    def _strike(self, kind: str, address: str) -> None:
        """Let a fault of one machine begin, with its end."""
        if kind == "after_ack":
            self._on_ack = [*self._on_ack, lambda acker: self._after_ack(acker)]
            return
        for_us = 500 * MS + self.rng.randrange(3 * SECOND)
        self.story.append(f"{self.net.time.now} {kind} {address} for {for_us}")
        self.lost.add(address)
        strikes: dict[str, Callable[[str, str, int], None]] = {
            "kill": self._end,
            "power": self._end,
            "wipe": self._end,
            "cut": self._partition,
            "one_way": self._partition,
            "freeze": self._freeze,
            "stall": self._stall,
            "slow": self._slow,
            "leave": self._leave,
        }
        strikes[kind](kind, address, for_us)

    def _end(self, kind: str, address: str, for_us: int) -> None:
        machine = self.net.machines[address]
        machine.end(power=kind != "kill")
        if kind == "wipe":
            machine.disk.wiped()
        self.net.time.after(for_us, self._back, address)

    def _partition(self, kind: str, address: str, for_us: int) -> None:
        others = {a for a in self.net.machines if a in self.fleet.stores} - {address}
        sides = ({address}, others) if self.rng.random() < 0.5 else (others, {address})
        partition = self.net.partition(*sides, one_way=kind == "one_way")
        self.net.time.after(for_us, self._healed, address, partition)

    def _freeze(self, kind: str, address: str, for_us: int) -> None:
        self.net.machines[address].frozen_until = self.net.time.now + for_us
        self.net.time.after(for_us, self._found, address)

    def _stall(self, kind: str, address: str, for_us: int) -> None:
        self.net.machines[address].disk.stall(for_us)
        self.net.time.after(for_us, self._found, address)

    def _slow(self, kind: str, address: str, for_us: int) -> None:
        self.net.slow[address] = self.rng.choice((50, 200, 600)) * MS
        self.net.time.after(for_us, self._quick, address)

    def _leave(self, kind: str, address: str, for_us: int) -> None:
        self.fleet.stores[address].replica.departure = Departure.PLANNED
        self.net.time.after(3 * SECOND, self._left, address)

    def _after_ack(self, acker: str) -> None:
        """Within 4 ms: the machine that acknowledged, or its disk too and perhaps all others dark, or all."""
        if self.lost or acker not in self.fleet.stores:
            return
        time = self.net.time
        how = self.rng.choice(("dark", "wiped", "wiped, all dark", "all dark"))
        self.story.append(f"{time.now} after ack {acker} {how}")
        self.lost.add(acker)

        def strike() -> None:
            machine = self.net.machines[acker]
            machine.end(power=True)
            if "wiped" in how:
                machine.disk.wiped()
            if "all" in how:
                for other in [a for a in self.fleet.up() if a in self.fleet.stores]:
                    self.lost.add(other)
                    self.net.machines[other].end(power=True)
                    time.after(1 * SECOND + self.rng.randrange(SECOND), self._back, other)
            time.after(1 * SECOND + self.rng.randrange(SECOND), self._back, acker)

        time.after(self.rng.randrange(4 * MS), strike)

    def _back(self, address: str) -> None:
        if address in self.net.machines:
            self.fleet.start(address)
            self._found(address)

    def _found(self, address: str) -> None:
        """It counts as lost for 4 s more: CatchUpS."""
        self.net.time.after(4 * SECOND, self.lost.discard, address)

    def _healed(self, address: str, partition: set[tuple[str, str]]) -> None:
        self.net.heal(partition)
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
