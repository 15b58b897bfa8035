"""Virtual time, machines with disks, links that delay, lose and are cut. All chance is drawn from one seed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil
from random import Random
from typing import Any

from lilacsill.mesh.runtime.callbacks import once
from lilacsill.mesh.runtime.environment import OnReply
from lilacsill.mesh.runtime.messages import Item, Message, decode, encode
from lilacsill.mesh.store.digests import range_of
from lilacsill.mesh.store.environment import Done, Save
from lilacsill.mesh.store.operation_records import OPERATION, highest_floor
from lilacsill.timers import Timer, TimerWheel

MS = 1_000
SECOND = 1_000_000
FRAME = 80  # bytes of a message beyond its own


class Time:
    """The clock of the whole world, in microseconds."""

    def __init__(self) -> None:
        self.now = 1 * SECOND
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self.steps = 0
        self.at_step: dict[int, Callable[[], None]] = {}  # called before the step of that number

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call something at a time, or now if that has passed."""
        self._number += 1
        heappush(self._events, (max(when, self.now), self._number, call, arguments))

    def after(self, us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call something after so many microseconds."""
        self.at(self.now + us, call, *arguments)

    def run(self, until: int) -> None:
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heappop(self._events)
            self.steps += 1
            if self.steps in self.at_step:
                self.at_step.pop(self.steps)()
            call(*arguments)
        self.now = until


class PendingSave:
    """A save that is not synced yet."""

    def __init__(self, save: Save, done: Done | None, asked_at: int) -> None:
        self.save, self.done, self.asked_at = save, done, asked_at


class Disk:
    """What lasts: each save is whole or missing. What was not synced when power goes may be either."""

    def __init__(self, time: Time, rng: Random, sync_us: int) -> None:
        self._time, self._rng, self.sync_us = time, rng, sync_us
        self.items: dict[tuple[str, str], Item] = {}
        self.facts: dict[str, bytes] = {}
        self.stalled_until = 0
        self._queue: list[PendingSave] = []
        self._free_at = 0

    def save(self, save: Save, done: Done) -> None:
        """Queue a save; `done` is called when it is synced."""
        entry = PendingSave(save, done, self._time.now)
        self._queue.append(entry)
        self._schedule(entry)

    def _schedule(self, entry: PendingSave) -> None:
        begin = max(self._time.now, self._free_at, self.stalled_until)
        self._free_at = begin + self.sync_us + self._rng.randrange(self.sync_us)
        self._time.at(self._free_at, self._synced, entry)

    def stall(self, us: int) -> None:
        """Complete nothing for so long."""
        self.stalled_until = self._time.now + us
        self._free_at = max(self._free_at, self.stalled_until)

    def slow_down(self, times: int) -> None:
        """Let each sync take so many times as long, until `speed_up`."""
        self.sync_us *= times

    def speed_up(self, times: int) -> None:
        """End a `slow_down`; what waits takes no longer than what is asked for from now on."""
        self.sync_us //= times
        self._free_at = self._time.now
        for entry in self._queue:
            self._schedule(entry)

    def oldest_save_age_us(self) -> int:
        """Return for how long the oldest save has been pending; 0: none is."""
        return self._time.now - self._queue[0].asked_at if self._queue else 0

    def _synced(self, entry: PendingSave) -> None:
        if entry not in self._queue:
            return
        if self._time.now < self.stalled_until:
            self._time.at(self.stalled_until + self.sync_us, self._synced, entry)
            return
        self._queue.remove(entry)
        self._write(entry.save)
        if entry.done is not None:
            entry.done()

    def _write(self, save: Save) -> None:
        ranges = set(save.ranges)
        for key in [k for k in self.items if range_of(*k) in ranges] if ranges else ():
            del self.items[key]
        for key in (
            [k for k, i in self.items.items() if i.body is None and i.seq <= save.tombstone_floor]
            if save.tombstone_floor
            else ()
        ):
            del self.items[key]
        for item in save.items:
            self.items[item.kind, item.name] = item
        operation_floor = highest_floor(save.items)
        if operation_floor:
            for key in [k for k, i in self.items.items() if i.kind == OPERATION and i.seq <= operation_floor]:
                del self.items[key]
        self.facts.update(save.facts)

    def power_lost(self, kept_saves: int = -1) -> None:
        """Lose what was not synced; a first part of it may be there, in order: one file, one log of writes.

        Args:
            kept_saves: So many saves of it are there; -1: by chance.
        """
        if kept_saves < 0:
            kept_saves = self._rng.randrange(len(self._queue) + 1)
        for entry in self._queue[:kept_saves]:
            self._write(entry.save)
        self._queue.clear()
        self._free_at = 0

    def wiped(self) -> None:
        """Lose everything."""
        self._queue.clear()
        self.items.clear()
        self.facts.clear()


Handlers = dict[type, Callable[[Any, Callable[[Message], None]], None]]


class Machine:
    """One machine and the life of its process. It is the `World` of what runs on it."""

    def __init__(self, net: Net, address: str, sync_us: int) -> None:
        self.net, self.address = net, address
        self.disk = Disk(net.time, net.rng, sync_us)
        self.run_number = 0  # even: dark
        self.without_power = False  # it ended with its power: nothing answers there, not even a refusal
        self.clock_offset = 0  # of its steady clock, which tells nothing of another machine's
        self.clock_rate = 1.0
        self.frozen_until = 0
        self.handlers: Handlers = {}
        self._wheel = TimerWheel()

    @property
    def up(self) -> bool:
        """Whether a process runs here."""
        return self.run_number % 2 == 1

    # The world of its process

    def now(self) -> int:
        """Return the steady clock of this machine, in microseconds."""
        return int(self.net.time.now * self.clock_rate) + self.clock_offset

    def _real_us(self, delay_us: int) -> int:
        """Rounded up: a timer never fires before its time on this machine's clock."""
        return delay_us if self.clock_rate == 1.0 else ceil(delay_us / self.clock_rate)

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        """Call something later in this run of the process, by this machine's clock."""
        timer = Timer(self._wheel, call, arguments)
        self.net.time.after(self._real_us(delay_us), self.here(timer.fire))
        return timer

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call something in this run of the process, without a delay."""
        self.net.time.after(0, self.here(callback), *args)

    def ask(self, address: str, message: Message, timeout_us: int, answered: OnReply) -> None:
        """Send a request to a machine; `answered` is called once, with None after the time-out."""
        answer_once = once(answered)
        self.net.time.after(self._real_us(timeout_us), self.here(answer_once), None)
        back = self.here(answer_once)
        if self.net.refuses(self.address, address, lambda: back(None)):
            return
        self.net.send(
            self.address,
            address,
            encode(message),
            lambda answer, size: self.net.carry(address, self.address, lambda: back(answer), size),
        )

    def save(self, save: Save, done: Done) -> None:
        """Save on this machine's disk; `done` is called in this run of the process."""
        self.disk.save(save, self.here(done))

    def oldest_save_age_us(self) -> int:
        """Return for how long the oldest save has been pending; 0: none is."""
        return self.disk.oldest_save_age_us()

    def here(self, call: Callable[..., Any]) -> Callable[..., None]:
        """Only in this life of the process, and when it is not frozen."""
        run_number = self.run_number

        def run(*arguments: Any) -> None:
            if self.run_number != run_number:
                return
            if self.net.time.now < self.frozen_until:
                self.net.time.at(self.frozen_until, run, *arguments)
                return
            call(*arguments)

        return run

    # Faults

    def end(self, power: bool) -> None:
        """End the process; with `power` its unsynced saves are lost, too."""
        if self.up:
            self.run_number += 1
            self.without_power = power
            self.handlers = {}
            if power:
                self.disk.power_lost()

    def begin(self) -> None:
        """Start a process."""
        assert not self.up
        self.run_number += 1


Way = tuple[str, str]  # from one address to another
OPEN_QUESTIONS = 64  # of one way that a reset ends


class Net:
    """All links.

    A partition is of one direction; it is silent, unless it refuses connections. A machine's own link may be thin: what
    goes over it waits.
    """

    def __init__(self, seed: int, delay_us: int) -> None:
        self.rng, self.time, self._delay_us = Random(seed), Time(), delay_us
        self.machines: dict[str, Machine] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.sent = 0  # messages
        self.slow: dict[str, int] = {}  # machine: how much later at most what goes to it or comes from it arrives
        self._last: dict[tuple[str, str], int] = {}
        self.bandwidth: dict[str, int] = {}  # machine: bytes a second, in each direction; not told: no bound
        self._free_at: dict[tuple[str, bool], int] = {}  # machine, outward: when its link has sent what waits
        self.refusing: set[Way] = set()  # cuts of which the sender hears at once
        self.sockets = False  # dead processes refuse, and connections may be reset
        self._open: dict[Way, deque[Callable[[], None]]] = {}

    def refuses(self, source: str, target: str, failed: Callable[[], None]) -> bool:
        """Whether a connection from `a` to `b` fails at once; else `failed` is called if it is reset later."""
        if not self.sockets:
            return False
        machine = self.machines.get(target)
        dead = (
            machine is not None
            and not machine.up
            and not machine.without_power
            and (source, target) not in self.partitions
        )
        if dead or (source, target) in self.refusing:
            self.time.after(2 * self._delay_us, failed)
            return True
        self._open.setdefault((source, target), deque(maxlen=OPEN_QUESTIONS)).append(failed)
        return False

    def reset(self, one: set[str], other: set[str]) -> None:
        """Connections between them end now, both ways."""
        for source in sorted(one):
            for target in sorted(other):
                for failed in (*self._open.pop((source, target), ()), *self._open.pop((target, source), ())):
                    self.time.after(self._delay_us, failed)

    def carry(self, source: str, target: str, arrive: Callable[[], None], size: int = 0) -> None:
        """In order, as on a connection; what meets a cut is lost."""
        self.sent += 1
        if (source, target) in self.partitions:
            return
        when = self.time.now + self._delay_us + self.rng.randrange(self._delay_us)
        slow = max(self.slow.get(source, 0), self.slow.get(target, 0)) if self.slow else 0
        if slow:
            when += self.rng.randrange(slow)
        if self.bandwidth:
            when += self._queued_us(source, True, size) + self._queued_us(target, False, size)
        when = self._last[source, target] = max(when, self._last.get((source, target), 0))

        def land() -> None:
            if (source, target) not in self.partitions:
                arrive()

        self.time.at(when, land)

    def _queued_us(self, machine: str, outward: bool, size: int) -> int:
        """How long so many bytes and those before them take on that machine's link."""
        rate = self.bandwidth.get(machine)
        if rate is None:
            return 0
        free_at = max(self.time.now, self._free_at.get((machine, outward), 0)) + (size + FRAME) * SECOND // rate
        self._free_at[machine, outward] = free_at
        return free_at - self.time.now

    def send(self, source: str, target: str, data: bytes, back: Callable[[Message, int], None]) -> None:
        """Carry a message over the link, if it is not partitioned; `back` carries its answer."""

        def arrive() -> None:
            machine = self.machines.get(target)
            if machine is None or not machine.up:
                return
            message = decode(data)

            def take() -> None:
                handler = machine.handlers.get(type(message))
                if handler is not None:
                    handler(message, answer)

            def answer(message: Message) -> None:
                report = encode(message)
                back(decode(report), len(report))

            machine.here(take)()

        self.carry(source, target, arrive, len(data))

    def partition(self, one: set[str], other: set[str], one_way: bool = False) -> set[tuple[str, str]]:
        """Stop what goes from one side to the other, and back unless `one_way`. Return the links that are stopped."""
        partition = {(source, target) for source in one for target in other if source != target}
        if not one_way:
            partition |= {(target, source) for source, target in partition}
        self.partitions |= partition
        return partition

    def heal(self, partition: set[tuple[str, str]]) -> None:
        """Let these links carry again."""
        self.partitions -= partition
