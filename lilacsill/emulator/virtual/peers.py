"""Many agents' parts in a fleet (`lilacsill.agent.peers.fleet`) in one virtual time: links fail, agents die.

Every process has a monotonic clock of its own, with an offset and a rate, and a wall clock. A datagram takes as long as
the links say. What arrives at a stalled process waits in a queue that is as short as a socket's.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from lilacsill.agent.peers.fleet import Fleet, FleetSettings

from ..models.links import Links, Rule

WIRE_US = 200
"""The time of the network, beside what the links add."""
MAX_QUEUE = 256
"""Datagrams that wait for a stalled process."""
START_UNIX_MS = 1_800_000_000_000
"""The wall clock when the world begins."""
OFFSET_US = (10**9, 10**12)
"""The range of the processes' monotonic clocks when the world begins."""

FleetFactory = Callable[[FleetSettings, int, int], Fleet]
"""Makes the part of a process in the fleet, of its settings, its monotonic time and its incarnation."""


@dataclass(slots=True)
class MonotonicClock:
    """A clock that starts anywhere and runs a little too fast or too slow; times are microseconds."""

    offset_us: int
    rate: float

    def at(self, world_us: int) -> int:
        """Return what the clock shows at a time of the world."""
        return self.offset_us + int(world_us * self.rate)

    def until(self, due_us: int, world_us: int) -> int:
        """Return the world's time from now until the clock shows a time; 0 where it has passed."""
        return max(0, int((due_us - self.at(world_us)) / self.rate))


@dataclass(slots=True)
class Process:
    """One process under one number."""

    number: int
    fleet: Fleet
    monotonic: MonotonicClock
    stalled_until: int = 0
    dead: bool = False
    queue: list[tuple[bytes, int]] = field(default_factory=list)
    """Datagrams with their sources, which wait while it is stalled."""
    armed: int = 0
    """The time of its timer, on its own clock; 0: none."""

    def clock(self, world_us: int) -> int:
        """Return what its monotonic clock shows at a time of the world."""
        return self.monotonic.at(world_us)


class World:
    """A fleet whose agents all start at once; `at` schedules calls, and `run` plays until a time."""

    def __init__(
        self,
        agents: int,
        seed: int = 1,
        rules: Sequence[Rule] = (),
        drift: float = 0.005,
        make: FleetFactory = Fleet,
        **settings: Any,
    ) -> None:
        """Start the agents.

        Args:
            agents: Their number.
            seed: Of everything that is drawn.
            rules: The faults of the links.
            drift: The largest relative error of a monotonic clock's rate.
            make: Makes the part of a process in the fleet.
            **settings: Of `FleetSettings`.
        """
        self.rng = Random(f"{seed} world")
        self.agents, self.now = agents, 0
        self.links = Links(list(rules), Random(f"{seed} links"))
        self._settings: dict[str, Any] = {"configured_agents": agents, "seed": seed, **settings}
        self._drift, self._make = drift, make
        self._events: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._order = 0
        self.processes: dict[int, Process] = {}
        """The latest process of each number."""
        self._started: list[Process] = []
        self.sent: dict[int, list[int]] = {number: [0, 0] for number in range(agents)}
        """Datagrams and bytes, by number."""
        self.on_step: Callable[[], None] | None = None
        """Called after every event; tests check their invariants here."""
        for number in range(agents):
            self.start(number)

    def at(self, time_us: int, call: Callable[..., object], *arguments: Any) -> None:
        """Call at a time of the world."""
        self._order += 1
        heappush(self._events, (max(time_us, self.now), self._order, call, arguments))

    def run(self, until_us: int) -> None:
        """Play until a time of the world."""
        while self._events and self._events[0][0] <= until_us:
            self.now, _, call, arguments = heappop(self._events)
            call(*arguments)
            if self.on_step is not None:
                self.on_step()
        self.now = until_us

    def start(self, number: int, wall_back_ms: int = 0) -> Process:
        """Start a process under a number; the one before it goes on, unless it was killed.

        Args:
            number: Of the agent.
            wall_back_ms: How far the wall clock is behind the true time.
        """
        offset_us = self.rng.randrange(*OFFSET_US)
        monotonic = MonotonicClock(offset_us, 1.0 + self.rng.uniform(-self._drift, self._drift))
        incarnation = START_UNIX_MS + self.now // 1000 - wall_back_ms
        settings = FleetSettings(own_number=number, agents=self.agents, **self._settings)
        fleet = self._make(settings, monotonic.at(self.now), incarnation)
        process = Process(number, fleet, monotonic)
        fleet.start(process.clock(self.now))
        self.processes[number] = process
        self._started.append(process)
        self._arm(process)
        return process

    def kill(self, number: int) -> None:
        """Kill a process."""
        self.processes[number].dead = True

    def stall(self, number: int, length_us: int) -> None:
        """Stop a process for a time."""
        process = self.processes[number]
        process.stalled_until = max(process.stalled_until, self.now + length_us)
        self.at(process.stalled_until, self._resume, process)

    def restart(self, number: int, wall_back_ms: int = 0) -> Process:
        """Kill a process and start another under its number."""
        self.kill(number)
        return self.start(number, wall_back_ms)

    def _is_stalled(self, process: Process) -> bool:
        return process.stalled_until > self.now

    def _arm(self, process: Process) -> None:
        due = process.fleet.due
        if due != process.armed:
            process.armed = due
            self.at(self.now + process.monotonic.until(due, self.now) + 1, self._tick, process, due)

    def _tick(self, process: Process, due: int) -> None:
        if process.dead or process.armed != due or self._is_stalled(process):
            return  # the process has ended, or another timer replaced this one
        process.armed = 0
        process.fleet.tick(process.clock(self.now))
        self.flush(process)

    def _resume(self, process: Process) -> None:
        if process.dead or self._is_stalled(process):
            return
        queue, process.queue = process.queue, []
        if self.rng.random() < 0.5:  # an event loop may run timers or read datagrams first
            process.fleet.tick(process.clock(self.now))
        for data, source in queue:
            process.fleet.receive(process.clock(self.now), data, source)
        process.fleet.tick(process.clock(self.now))
        self.flush(process)

    def flush(self, process: Process) -> None:
        """Send what a process has to send, and set its timer."""
        for destination, data in process.fleet.take_datagrams():
            self.sent[process.number][0] += 1
            self.sent[process.number][1] += len(data)
            for delay_us in self.links.copies(self.now, process.number, destination):
                self.at(self.now + WIRE_US + delay_us, self._deliver, destination, data, process.number)
        self._arm(process)

    def _deliver(self, destination: int, data: bytes, source: int) -> None:
        process = self.processes[destination]
        if process.dead:
            return
        if self._is_stalled(process):
            if len(process.queue) < MAX_QUEUE:
                process.queue.append((data, source))
            return
        process.fleet.receive(process.clock(self.now), data, source)
        self.flush(process)

    def running(self) -> list[Process]:
        """List the latest process of each number, without those that are dead; stalled ones are listed."""
        return [process for process in self.processes.values() if not process.dead]

    def spendable(self, budget: int) -> int:
        """Return what all processes that run and are not stalled could spend of a budget now."""
        return sum(
            process.fleet.right(budget, process.clock(self.now)).amount
            for process in self._started
            if not process.dead and not self._is_stalled(process)
        )
