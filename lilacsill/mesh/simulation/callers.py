"""Operators, readers and followers, who call a simulated store from outside and write what they see into a history."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from lilacsill.mesh.runtime.messages import Follow, FollowReply, Item, Message, Patch, Read, Reply

from .history import (
    FollowSent,
    History,
    Order,
    OrderAnswered,
    OrderSent,
    ReadAnswered,
    ReadSent,
    Served,
    Value,
    content,
    values_of_layout,
)
from .network import MS, SECOND, Machine
from .store_fleet import CALL_US, Fleet

ENDS_AT_ONCE = (200, 400, 409, 412, 413, 422)
REFUSALS = 3  # another 4xx ends a call at the third
PAUSE_US, LONGEST_PAUSE_US = 100 * MS, 1600 * MS
FOLLOW_WAIT_MS = 300
FOLLOW_US, RETRY_US = 900 * MS, 20 * MS
READ_EVERY_US, PROBE_EVERY_US = 400 * MS, 200 * MS


class World:
    """What callers know of the day: who can be reached, whose answers are lost, and where the history is."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet, self.net, self.time, self.rng = fleet, fleet.net, fleet.net.time, rng
        self.history = History()
        self.lost_acks = 0.0  # the share of acknowledgements that are lost on their way now
        self.reach: set[str] = set()  # if any: only these can be reached by operators
        self.last_acker = ""
        self.on_ack: list[Callable[[str], None]] = []  # called once, with the machine that acknowledged

    def cores(self) -> list[str]:
        """Machines that operators have in their list; one that is down may be among them."""
        return [a for a in self.fleet.stores if a in self.reach] or list(self.fleet.stores)

    def machine(self, name: str) -> Machine:
        """A caller's own."""
        made = self.net.machines.setdefault(name, Machine(self.net, name, 1))
        if not made.up:
            made.begin()
        return made


class Call:
    """One order, sent to one machine after the other until it has a clear answer."""

    def __init__(self, world: World, machine: Machine, order: Order, body: bytes, ended: Callable[[int], None]) -> None:
        """`ended` is called with the clear answer."""
        self._world, self._machine, self._order, self._body, self._ended = world, machine, order, body, ended
        self._last = ""
        self._pause, self._refusals = PAUSE_US, 0

    def send(self, to: str = "") -> None:
        """To that machine, or to one that was not the last."""
        world = self._world
        among = [a for a in world.cores() if a != self._last] or world.cores()
        to = self._last = to if to in world.fleet.stores else world.rng.choice(among)
        attempt = world.history.number()
        world.history.add(OrderSent(world.time.now, self._order, attempt, to))
        self._machine.ask(to, Patch(self._body, 0), CALL_US, lambda message: self._answered(to, attempt, message))

    def _answered(self, to: str, attempt: int, message: Message | None) -> None:
        world = self._world
        status = message.status if isinstance(message, Reply) else 0
        if status == 200:
            world.last_acker = to
            waiting, world.on_ack = world.on_ack, []
            for call in waiting:
                call(to)
            if world.lost_acks and world.rng.random() < world.lost_acks:
                world.time.after(CALL_US, self.send)
                return
        if status:
            world.history.add(OrderAnswered(world.time.now, self._order, attempt, status))
        if 400 <= status < 500:
            self._refusals += 1
        if status in ENDS_AT_ONCE or self._refusals >= REFUSALS:
            self._ended(status)
            return
        world.time.after(self._pause + world.rng.randrange(self._pause), self.send)
        self._pause = min(2 * self._pause, LONGEST_PAUSE_US)


class Reader:
    """Reads the whole configuration again and again, at one machine after the other."""

    def __init__(self, world: World) -> None:
        self._world, self._machine = world, world.machine("reader")
        self.read_at = 0  # when an answer came last

    def read(self) -> None:
        """Read at one machine, and again after the answer."""
        world = self._world
        to = world.rng.choice(world.cores())
        number = world.history.number()
        world.history.add(ReadSent(world.time.now, number, to))
        self._machine.ask(to, Read(0), CALL_US, lambda message: self._answered(number, message))

    def _answered(self, number: int, message: Message | None) -> None:
        world = self._world
        if isinstance(message, Reply) and message.status == 200:
            self.read_at = world.time.now
            values = values_of_layout(msgspec.json.decode(message.body))
            world.history.add(ReadAnswered(world.time.now, number, values))
        world.time.after(READ_EVERY_US // 2 + world.rng.randrange(READ_EVERY_US), self.read)


class Follower:
    """Holds what it was told is current, as a registry does that asks the store beside it."""

    def __init__(self, world: World, beside: str) -> None:
        """`beside`: the core machine that it is on; its life is that machine's."""
        self._world, self._beside = world, beside
        self._machine = world.net.machines[beside]
        self._run_number, self._seq = self._machine.run_number, 0

    def ask(self) -> None:
        """Ask the store of this machine what is new, and again after the answer."""
        world = self._world
        if world.net.machines.get(self._beside) is not self._machine:
            return  # that machine is gone for good
        if self._machine.run_number != self._run_number:
            if not self._machine.up:
                world.time.after(FOLLOW_WAIT_MS * MS, self.ask)
                return
            self._run_number, self._seq = self._machine.run_number, 0
        number = world.history.number()
        world.history.add(FollowSent(world.time.now, self._report(), number, self._beside))
        run_number, answered = self._run_number, False

        def once(message: Message | None) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._answered(run_number, number, message)

        # A life that ends answers nothing: who asks for it goes on by itself.
        world.time.after(FOLLOW_US + SECOND, once, None)
        self._machine.ask(self._beside, Follow(self._seq, FOLLOW_WAIT_MS, 0), FOLLOW_US, once)

    def _report(self) -> str:
        return f"follower beside {self._beside} in life {self._run_number}"

    def _answered(self, run_number: int, number: int, message: Message | None) -> None:
        world = self._world
        update = _current(message)
        if update is not None and run_number == self._machine.run_number:
            seq, items = update
            self._seq = max(self._seq, seq)
            values = {(i.kind, i.name): _value(i) for i in items}
            world.history.add(Served(world.time.now, self._report(), number, values))
        world.time.after(5 * RETRY_US if update is None else RETRY_US, self.ask)


class Prober:
    """Asks one machine after the other, as a follower that has nothing yet: each answer is whole, and judged alone."""

    def __init__(self, world: World) -> None:
        self._world, self._machine = world, world.machine("prober")

    def ask(self) -> None:
        """Ask one machine for everything, and the next one after the answer."""
        world = self._world
        to, number = world.rng.choice(world.cores()), world.history.number()
        follower = f"probe {number} at {to}"
        world.history.add(FollowSent(world.time.now, follower, number, to))
        self._machine.ask(to, Follow(0, 0, 0), FOLLOW_US, lambda message: self._answered(follower, number, message))

    def _answered(self, follower: str, number: int, message: Message | None) -> None:
        world = self._world
        update = _current(message)
        if update is not None:
            values = {(i.kind, i.name): _value(i) for i in update[1]}
            world.history.add(Served(world.time.now, follower, number, values))
        world.time.after(PROBE_EVERY_US // 2 + world.rng.randrange(PROBE_EVERY_US), self.ask)


def _current(message: Message | None) -> tuple[int, list[Item]] | None:
    """The number and the items that an answer tells as current; None: it tells nothing for sure."""
    return (
        (message.update.seq, message.update.items)
        if isinstance(message, FollowReply) and message.update is not None
        else None
    )


def _value(item: Item) -> Value:
    return item.version, None if item.body is None else content(msgspec.json.decode(item.body))
