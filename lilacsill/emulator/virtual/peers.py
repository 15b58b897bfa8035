"""Many agents' parts in a fleet (`lilacsill.agent.peers.fleet`) in one virtual time: links fail, agents die.

Every process has its own monotonic clock, offset and rate, and its own wall clock; a datagram takes what the links say,
and what comes to a process that stands still waits for it in a queue as short as a socket's.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from lilacsill.agent.peers.fleet import Fleet, FleetSettings

from ..models.links import Links, Rule

WIRE_US = 200
QUEUE = 256  # datagrams that wait for a process
SPEND_US = 20_000  # how often a process spends what it may


@dataclass(slots=True)
class Process:
    """One process under one number."""

    number: int
    fleet: Fleet
    offset: int  # its monotonic clock against the world's
    rate: float
    stalled_until: int = 0
    dead: bool = False
    queue: list[tuple[bytes, int]] = field(default_factory=list)
    armed: int = 0

    def clock(self, now: int) -> int:
        return self.offset + int(now * self.rate)


class World:
    """`agents` start at once; `at` puts calls on the script; `run` plays until a time."""

    def __init__(
        self,
        agents: int,
        seed: int = 1,
        rules: list[Rule] | None = None,
        drift: float = 0.005,
        make: Callable[[FleetSettings, int, int], Fleet] = Fleet,
        **settings: Any,
    ) -> None:
        self.rng = Random(f"{seed} world")
        self.agents, self.now = agents, 0
        self.links = Links(rules or [], Random(f"{seed} links"))
        self._settings: dict[str, Any] = {"configured_agents": agents, "seed": seed, **settings}
        self._drift, self._make = drift, make
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._order = 0
        self.processes: dict[int, Process] = {}
        self.all: list[Process] = []
        self.wall = 1_800_000_000_000  # milliseconds at the world's 0
        self.sent: dict[int, list[int]] = {n: [0, 0] for n in range(agents)}  # datagrams, bytes
        self.watch: Callable[[], None] | None = None  # called after every step
        for n in range(agents):
            self.start(n)

    def at(self, time_us: int, call: Callable[..., object], *arguments: Any) -> None:
        self._order += 1
        heappush(self._heap, (max(time_us, self.now), self._order, call, arguments))

    def run(self, until_us: int) -> None:
        while self._heap and self._heap[0][0] <= until_us:
            self.now, _, call, arguments = heappop(self._heap)
            call(*arguments)
            if self.watch is not None:
                self.watch()
        self.now = until_us

    # Troubles

    def start(self, number: int, wall_back_ms: int = 0) -> Process:
        """A fresh process under that number; what was there before is dead unless it was left on purpose."""
        p = Process(
            number,
            None,  # type: ignore[arg-type]
            self.rng.randrange(10**9, 10**12),
            1.0 + self.rng.uniform(-self._drift, self._drift),
        )
        life = self.wall + self.now // 1000 - wall_back_ms
        p.fleet = self._make(
            FleetSettings(own_number=number, agents=self.agents, **self._settings), p.clock(self.now), life
        )
        p.fleet.start(p.clock(self.now))
        self.processes[number] = p
        self.all.append(p)
        self._arm(p)
        return p

    def kill(self, number: int) -> None:
        self.processes[number].dead = True

    def stall(self, number: int, for_us: int) -> None:
        p = self.processes[number]
        p.stalled_until = max(p.stalled_until, self.now + for_us)
        self.at(p.stalled_until, self._woken, p)

    def restart(self, number: int, wall_back_ms: int = 0) -> Process:
        self.kill(number)
        return self.start(number, wall_back_ms)

    # The machine

    def _stands(self, p: Process) -> bool:
        return p.stalled_until > self.now

    def _arm(self, p: Process) -> None:
        due = p.fleet.due
        if due != p.armed:
            p.armed = due
            self.at(self.now + max(0, int((due - p.clock(self.now)) / p.rate)) + 1, self._tick, p, due)

    def _tick(self, p: Process, due: int) -> None:
        if p.dead or p.armed != due or self._stands(p):
            return  # it is over, or another timer took this one's place
        p.armed = 0
        p.fleet.tick(p.clock(self.now))
        self._flush(p)

    def _woken(self, p: Process) -> None:
        if p.dead or self._stands(p):
            return
        queue, p.queue = p.queue, []
        if self.rng.random() < 0.5:  # timers first or datagrams first: both happen
            p.fleet.tick(p.clock(self.now))
        for data, source in queue:
            p.fleet.receive(p.clock(self.now), data, source)
        p.fleet.tick(p.clock(self.now))
        self._flush(p)

    def _flush(self, p: Process) -> None:
        for to, data in p.fleet.take_datagrams():
            self.sent[p.number][0] += 1
            self.sent[p.number][1] += len(data)
            for delay in self.links.copies(self.now, p.number, to):
                self.at(self.now + WIRE_US + delay, self._arrive, to, data, p.number)
        self._arm(p)

    def _arrive(self, to: int, data: bytes, source: int) -> None:
        p = self.processes[to]
        if p.dead:
            return
        if self._stands(p):
            if len(p.queue) < QUEUE:
                p.queue.append((data, source))
            return
        p.fleet.receive(p.clock(self.now), data, source)
        self._flush(p)

    # What the fleet comes to

    def running(self) -> list[Process]:
        return [p for p in self.processes.values() if not p.dead]

    def spendable(self, budget: int) -> int:
        """What all processes that run could spend now, stalled ones by their own clocks when they wake."""
        return sum(
            p.fleet.right(budget, p.clock(self.now)).amount for p in self.all if not p.dead and not self._stands(p)
        )
