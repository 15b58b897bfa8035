"""All original core machines are replaced in turn, and a second machine is lost in the middle of each replacement.

One operator sends calls without a pause, a second one reads; both are judged by `store_day.Ledger`, from outside. At no
moment are more machines lost than `Survive` allows: one that is gone counts until its successor has had CatchUpS.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random

import msgspec

from lilacsill.mesh.runtime.messages import Message, Read, Reply

from .network import MS, SECOND
from .store_day import CallRecord
from .store_fleet import CALL_US, Fleet, Operator, RuleBroken, put, route

CATCH_UP_US, GRACE_US = 4 * SECOND, 6 * SECOND
SUCCESSOR_US = 1 * SECOND  # after an unplanned end
PAUSE_US = 100 * MS  # between two calls
SLOW_US = 1500 * MS  # a new disk may be slow for so long, so that something can happen while it is filled
MOMENT_US = 2 * SECOND  # the second loss is waited for no longer
LONGEST_ACK_US = 8 * SECOND  # with two losses in a row
WAYS = ("planned", "unplanned", "wiped")
LOSSES = ("power", "wiped", "cut", "freeze", "stall", "all")
MOMENTS = ("time", "view", "fill", "end")


class ReplacementDay:
    """One seed's."""

    def __init__(self, seed: int, cores: int, lost: int, routes: int = 60, places: int = 0) -> None:
        self._rng = Random(seed)
        self.fleet = Fleet(seed, cores, lost, self._rng.choice((2, 8)) * MS, places)
        self._places, self._routes = places, routes
        self._allowed = lost or 2 * places  # places have two machines each
        self._time = self.fleet.net.time
        self.operator, self._reader = Operator(self.fleet, "a"), Operator(self.fleet, "b")
        self._record = CallRecord()
        self.lost: set[str] = set()
        self.story: list[str] = []
        self._version = 1
        self._at_end: Callable[[], None] = lambda: None  # of the machine that is replaced
        self._asked_at = 0  # when the call that is under way was begun
        self.acks = self.reads = 0
        self.longest_us = 0

    def play(self) -> None:
        """Raises RuleBroken."""
        self._set_up()
        self._write()
        self._read()
        originals = list(self.fleet.stores)
        self._rng.shuffle(originals)
        for number, old in enumerate(originals):
            self._replace(old, f"10.0.{number + 1}.1:1")
            self._run(2 * CATCH_UP_US + 6 * SECOND)
            self._check_strength()
        if not self.reads:
            raise RuleBroken("nothing is read")

    def _set_up(self) -> None:
        rules = [route(f"r{i}", 1, f"/r{i}/") for i in range(self._routes)]
        self._record.sent.update({(rule["Name"], 1): rule for rule in rules})
        names = {rule["Name"]: 1 for rule in rules}
        self.operator.call(put(rules, first=True), lambda status: self._record.acknowledged(names))
        self._run(4 * SECOND)
        if not self._record.acked:
            raise RuleBroken("the first call is not acknowledged")

    def _run(self, us: int) -> None:
        until = self._time.now + us
        while self._time.now < until:
            self._time.run(min(until, self._time.now + SECOND))
            if self._asked_at and self._time.now - self._asked_at > LONGEST_ACK_US:
                raise RuleBroken(f"no call is acknowledged for {LONGEST_ACK_US // SECOND} s: {self.story[-4:]}")

    # Operators

    def _write(self) -> None:
        self._version += 1
        name, version = f"r{self._rng.randrange(self._routes)}", self._version
        rule = route(name, version, f"/{name}/")
        self._record.sent[name, version] = rule
        self._asked_at = self._time.now

        def acked(status: int) -> None:
            if status != 200:
                raise RuleBroken(f"a valid call is refused: {status}")
            self.longest_us = max(self.longest_us, self._time.now - self._asked_at)
            self._asked_at = 0
            self.acks += 1
            self._record.acknowledged({name: version})
            self._time.after(PAUSE_US, self._write)

        self.operator.call(put([rule]), acked)

    def _read(self) -> None:
        acked = dict(self._record.acked)
        to = self._rng.choice(self._stores_up() or list(self.fleet.stores))

        def answered(message: Message | None) -> None:
            if isinstance(message, Reply) and message.status == 200:
                self.reads += 1
                self._record.judge(msgspec.json.decode(message.body), acked, f"read at {to}")
            self._time.after(3 * PAUSE_US, self._read)

        self._reader.machine.ask(to, Read(0), CALL_US, answered)

    def _stores_up(self) -> list[str]:
        return [a for a in self.fleet.up() if a in self.fleet.stores]

    # A replacement

    def _replace(self, old: str, new: str) -> None:
        way = self._rng.choice(WAYS) if self._allowed and len(self.fleet.stores) > 2 else "planned"
        self._record_event(f"{way} {old} -> {new}")
        if way == "planned":
            self._add(new)
            pause = self._rng.choice((200 * MS, 1 * SECOND, CATCH_UP_US))
            self._time.after(pause, self._terminate, old)
            self._second_loss(old, pause)
        elif way == "unplanned":
            self._lose(old)
            self.fleet.remove(old)
            self._time.after(SUCCESSOR_US, self._add, new)
            self._found(old, SUCCESSOR_US)
            self._second_loss(old, SUCCESSOR_US + CATCH_UP_US)
        else:
            self._lose(old)
            self.fleet.net.machines[old].end(power=True)
            self.fleet.net.machines[old].disk.wiped()
            self._time.after(SUCCESSOR_US, self._start, old)
            self._found(old, SUCCESSOR_US)
            self._second_loss(old, SUCCESSOR_US + CATCH_UP_US)

    def _add(self, new: str) -> None:
        self.fleet.seeds = (self._stores_up() or list(self.fleet.stores))[:3]  # as the settings of that time have them
        self.fleet.add(new)
        disk = self.fleet.net.machines[new].disk
        usual_us, disk.sync_us = disk.sync_us, self._rng.choice((2, 150)) * MS
        self._time.after(SLOW_US, setattr, disk, "sync_us", usual_us)

    def _terminate(self, old: str) -> None:
        if old in self._stores_up():
            self.fleet.terminate(old, GRACE_US, partial(self._gone, old))

    def _gone(self, old: str) -> None:
        self._record_event(f"{old} has ended, and is gone for good")
        self._at_end()
        self.fleet.remove(old)

    def _second_loss(self, first: str, after_us: int) -> None:
        """In the moment of a step; where two may be lost, at once."""
        if self._allowed > 1:
            after_us = self._rng.randrange(after_us)
        self._time.after(after_us, self._wait_for_moment, first, self._rng.choice(MOMENTS))

    def _wait_for_moment(self, first: str, moment: str) -> None:
        struck = False

        def strike() -> None:
            nonlocal struck
            if not struck:
                struck = True
                self._time.after(self._rng.randrange(60 * MS), self._lose_another, first)

        if moment == "view":
            for address in self._stores_up():
                self.fleet.stores[address].replica.view_listeners.append(strike)
        elif moment == "fill":
            self._when_filled(strike, self._time.now + MOMENT_US)
        elif moment == "end":
            self._at_end = strike
        self._time.after(self._rng.randrange(MOMENT_US), strike)

    def _when_filled(self, strike: Callable[[], None], until: int) -> None:
        if any(self.fleet.stores[a].replica.learner for a in self._stores_up()):
            return strike()
        if self._time.now < until:
            self._time.after(2 * MS, self._when_filled, strike, until)
        return None

    def _lose_another(self, first: str) -> None:
        kind = self._rng.choice(LOSSES)
        if kind == "all":  # that is allowed at any time
            return self._lose_all()
        candidates = [a for a in self._stores_up() if a != first and a not in self.lost]
        if len(self.lost) >= self._allowed or not candidates:
            return None
        address = self._rng.choice(candidates)
        for_us = 500 * MS + self._rng.randrange(3 * SECOND)
        self._record_event(f"{kind} {address} for {for_us // MS} ms")
        self._lose(address)
        self._found(address, for_us)
        machine, net = self.fleet.net.machines[address], self.fleet.net
        if kind in ("power", "wiped"):
            machine.end(power=True)
            if kind == "wiped":
                machine.disk.wiped()
            self._time.after(for_us, self._start, address)
        elif kind == "cut":
            partition = net.partition(
                {address}, set(net.machines) - {address, self.operator.address, self._reader.address}
            )
            self._time.after(for_us, net.heal, partition)
        elif kind == "freeze":
            machine.frozen_until = self._time.now + for_us
        else:
            machine.disk.stall(for_us)
        return None

    def _lose_all(self) -> None:
        """All processes end at the same moment, and come back within a second; who was told to end does not."""
        power = self._rng.random() < 0.5
        self._record_event(f"all {'lose power' if power else 'are killed'}")
        for address in self._stores_up():
            self.fleet.net.machines[address].end(power)
            if self.fleet.stores[address].replica.departure:
                self._gone(address)
            else:
                self._lose(address)
                back_us = 300 * MS + self._rng.randrange(700 * MS)
                self._time.after(back_us, self._start, address)
                self._found(address, back_us)

    def _start(self, address: str) -> None:
        if address in self.fleet.net.machines:
            self.fleet.start(address)

    def _lose(self, address: str) -> None:
        self.lost.add(address)

    def _found(self, address: str, after_us: int) -> None:
        self._time.after(after_us + CATCH_UP_US, self.lost.discard, address)

    def _check_strength(self) -> None:
        """Once all is quiet the chain has all members that it should have, and all are whole."""
        stores = [self.fleet.stores[a] for a in self._stores_up()]
        full = len(stores) if self._places else min(len(stores), 2 * self.fleet.lost + 1)
        views = {s.replica.view for s in stores}
        if len(views) != 1 or len(next(iter(views)).chain) < full:
            raise RuleBroken(f"the chain is not at full strength: {[str(v) for v in views]}: {self.story[-3:]}")
        if not all(s.replica.complete for s in stores if s.replica.in_chain):
            raise RuleBroken(f"a copy is not whole: {self.story[-3:]}")

    def _record_event(self, what: str) -> None:
        self.story.append(f"{self._time.now / SECOND:.3f} {what}")


# Core machines, machines that may be lost at once, zones that may.
CASES = ((3, 1, 0), (3, 1, 0), (5, 2, 0), (4, 1, 0), (6, 0, 1))


def play(seed: int) -> str:
    """Empty, or what is broken."""
    cores, lost, places = CASES[seed % len(CASES)]
    try:
        ReplacementDay(seed, cores, lost, places=places).play()
    except Exception as error:  # whatever stops a member is a broken invariant
        return f"{type(error).__name__}: {error}"
    return ""


def replacements(count: int = 100, first: int = 0, jobs: int = 2) -> int:
    """Play so many, and print what is broken. 1 if anything is."""
    wrong = 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, reason in enumerate(pool.map(play, range(first, first + count)), first):
            if reason:
                wrong += 1
                print(f"seed {seed}: {reason}", flush=True)
    print(f"{count} days of replacements, {wrong} broken")
    return int(wrong > 0)
