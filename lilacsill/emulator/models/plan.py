"""Draw a scenario's chances: which server process runs when, what discovery learns when, which request arrives when.

Fleet and clients are separate processes; both make the same plan from scenario and seed. All times are microseconds
since the run began, unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import pi, sin
from random import Random

from .faults import SECOND, AgentFault, LinkFault, agent_faults, draw_recovery_us, link_fault, sides
from .scenario import AGENT_FAULTS, LINK_FAULTS, Scenario, ScriptedFault
from .server import ServerSpec, Span

__all__ = ["SECOND", "Arrival", "Incarnation", "Notice", "Plan", "Storm", "Window", "make_plan"]

RESTART_S = (1.0, 3.0)
"""A process that died comes back after a time in this range at the earliest."""
DEFAULT_SIZE = {
    "death": 6.0,
    "vanish": 6.0,
    "deploy": 2.0,
    "pauses": 0.2,
    "neighbour": 0.5,
    "heavy_tail": 10.0,
    "flood": 5.0,
    "reconnect_storm": 300.0,
    "agent_pause": 0.15,
    "agent_kill": 3.0,
    "agent_stall": 2.0,
    "power_loss": 4.0,
    "late": 200.0,
}
"""The `size` of each kind of fault where the script gives none; its unit depends on the kind (docs/emulator.md)."""
MAX_TAKEN = 0.95
"""A noisy neighbour takes at most this share of a machine."""
SAME_ADDRESS_CHANCE = 0.5
"""In a deployment, the chance that a new process takes over the address of the one that it replaces."""
DEPLOY_GAP_US = SECOND // 2
"""From the end of a process to the start of the one that replaces it."""
BURSTS_PER_S = 2
"""The load shape `bursts` has so many slots a second, of which every third is a burst."""
BURST_PERIOD = 3
MIN_WAVE_S = 5.0
"""The shortest period of the load shape `wave`."""


@dataclass(slots=True)
class Incarnation:
    """One process of one machine, at one address."""

    id: str
    machine: int
    port: int
    """The index among the ports of its machine; an incarnation may reuse the port of another."""
    start: int
    """Below 0: it runs from the beginning."""
    stop: int | None = None
    vanishes: bool = False
    """At `stop` it falls silent, and does not close its connections."""
    drain: int | None = None
    cold: bool = False
    spans: list[Span] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Notice:
    """What discovery knows from `at` on."""

    at: int
    incarnation: int
    """The index in `Plan.incarnations`."""
    phase: str
    """`SERVING`, `DRAINING` or `DELETED`."""


@dataclass(slots=True, frozen=True)
class Arrival:
    """The first try of a client's request."""

    at: int
    agent: int
    request_class: int
    tenant: int
    work_us: int
    over_share: bool
    """It is beyond its tenant's usual share."""


@dataclass(slots=True)
class Window:
    """A time in which a share of something fails."""

    start: int
    end: int
    share: float


@dataclass(slots=True)
class Storm:
    """A time in which clients open and close connections."""

    start: int
    end: int
    connections_per_s: int


@dataclass(slots=True)
class Plan:
    """A scenario with all its chances drawn."""

    scenario: Scenario
    seed: int
    spec: ServerSpec
    speeds: list[float] = field(default_factory=list)
    """By machine."""
    incarnations: list[Incarnation] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    outages: list[Window] = field(default_factory=list)
    """Of discovery."""
    resets: list[Window] = field(default_factory=list)
    """Servers reset a share of the connections in place of an answer."""
    malformed: list[Window] = field(default_factory=list)
    """Servers send a share of the answers malformed."""
    storms: list[Storm] = field(default_factory=list)
    agent_faults: list[AgentFault] = field(default_factory=list)
    link_faults: list[LinkFault] = field(default_factory=list)
    sides: list[int] = field(default_factory=list)
    """By agent; empty: all agents reach servers at the same addresses."""
    events: list[tuple[int, str]] = field(default_factory=list)
    """When each fault begins, and its name in the report."""

    def leaving(self) -> list[tuple[int, str]]:
        """List when discovery learns that a process drains or is gone, and which, named as the judge does."""
        return [
            (notice.at, f"{self.incarnations[notice.incarnation].id}#{notice.incarnation}")
            for notice in self.notices
            if notice.phase != "SERVING"
        ]

    def side(self, agent: int) -> int:
        """Return the side of an agent (`faults.sides`)."""
        return self.sides[agent] if self.sides else 0

    @property
    def length_us(self) -> int:
        """The length of the run."""
        return int(self.scenario.length_s * SECOND)


def make_plan(scenario: Scenario, seed: int | None = None) -> Plan:
    """Draw everything from one seed.

    Each part has a random stream of its own, so that a change in one part leaves the others as they were.

    Args:
        scenario: What to draw from.
        seed: In place of the scenario's own.
    """
    seed = scenario.seed if seed is None else seed
    fleet = scenario.fleet
    plan = Plan(scenario, seed, _server_spec(scenario))
    rng = Random(f"{seed} fleet")
    plan.speeds = [1.0 + rng.uniform(-fleet.speed_spread, fleet.speed_spread) for _ in range(fleet.servers)]
    plan.incarnations = [Incarnation(_draw_id(rng), machine, 0, -SECOND) for machine in range(fleet.servers)]
    for number, fault in enumerate(sorted(scenario.faults, key=lambda fault: fault.at_s)):
        _Script(plan, Random(f"{seed} trouble {number}")).add(fault)
    plan.agent_faults.sort(key=lambda fault: fault.at)
    plan.sides = sides(plan.link_faults, scenario.load.agents)
    plan.notices = _draw_notices(plan, Random(f"{seed} discovery"))
    plan.arrivals = _Arrivals(scenario, Random(f"{seed} arrivals")).draw()
    return plan


def _server_spec(scenario: Scenario) -> ServerSpec:
    fleet = scenario.fleet
    return ServerSpec(
        cores=fleet.cores,
        slots=fleet.slots,
        queue=fleet.queue,
        crowded_loss=fleet.crowded_loss,
        cold_share=fleet.cold_share,
        warm_up_us=int(fleet.warm_up_s * SECOND),
        warm_by_work=fleet.warm_by_work,
        fall_multiple=fleet.fall_multiple,
        fall_window_us=int(fleet.fall_window_s * SECOND),
        memory_us=int(fleet.memory_s * SECOND),
        report_every_us=int(fleet.report_ms * 1000),
    )


def _draw_id(rng: Random) -> str:
    return f"s-{rng.getrandbits(32):08x}"


class _Script:
    """Puts one scripted fault into the plan."""

    def __init__(self, plan: Plan, rng: Random) -> None:
        self._plan, self._rng = plan, rng
        # Floods and heavy tails have no entry: they change the arrivals, which are drawn later.
        self._handlers: dict[str, Callable[[ScriptedFault, int, int, float], None]] = {
            "death": self._add_death,
            "vanish": self._add_death,
            "power_loss": self._add_power_loss,
            "deploy": self._add_deployment,
            "pauses": self._add_pauses,
            "neighbour": self._add_neighbour,
            "discovery_outage": self._add_discovery_outage,
            "resets": self._add_resets,
            "spoilt": self._add_malformed,
            "agent_pause": self._add_agent_pause,
            "reconnect_storm": self._add_storm,
        }

    def add(self, fault: ScriptedFault) -> None:
        """Draw what the fault does."""
        start, end = int(fault.at_s * SECOND), int((fault.at_s + fault.len_s) * SECOND)
        size = fault.size or DEFAULT_SIZE.get(fault.kind, 0.0)
        plan, load = self._plan, self._plan.scenario.load
        plan.events.append((start, fault.kind.replace("_", " ")))
        if fault.kind in AGENT_FAULTS:
            plan.agent_faults += agent_faults(fault, size, load, plan.length_us, self._rng)
        if fault.kind in LINK_FAULTS:
            plan.link_faults.append(link_fault(fault, size, load, self._rng))
        if handler := self._handlers.get(fault.kind):
            handler(fault, start, end, size)

    def _add_death(self, fault: ScriptedFault, start: int, _end: int, size: float) -> None:
        for index in self._draw_servers(fault.part, start):
            self._end(index, start, int(size * SECOND), fault.kind == "vanish")

    def _add_power_loss(self, fault: ScriptedFault, start: int, _end: int, size: float) -> None:
        for index in self._draw_servers(fault.part, start):
            self._end(index, start, draw_recovery_us(int(size * SECOND), self._rng), vanishes=False)
        self._plan.outages.append(Window(start, start + draw_recovery_us(int(size * SECOND), self._rng), 1.0))

    def _add_pauses(self, fault: ScriptedFault, start: int, end: int, size: float) -> None:
        for index, at in self._draw_periods(fault, start, end):
            self._plan.incarnations[index].spans.append(Span(at, at + int(size * SECOND), 1.0))

    def _add_neighbour(self, fault: ScriptedFault, start: int, end: int, size: float) -> None:
        length_us = int(fault.every_s * SECOND / 2)
        for index, at in self._draw_periods(fault, start, end):
            span = Span(at, min(end, at + length_us), min(MAX_TAKEN, size))
            self._plan.incarnations[index].spans.append(span)

    def _add_discovery_outage(self, _fault: ScriptedFault, start: int, end: int, _size: float) -> None:
        self._plan.outages.append(Window(start, end, 1.0))

    def _add_resets(self, fault: ScriptedFault, start: int, end: int, _size: float) -> None:
        self._plan.resets.append(Window(start, end, fault.part))

    def _add_malformed(self, fault: ScriptedFault, start: int, end: int, _size: float) -> None:
        self._plan.malformed.append(Window(start, end, fault.part))

    def _add_agent_pause(self, _fault: ScriptedFault, start: int, _end: int, size: float) -> None:
        until = start + int(size * SECOND)
        agents = range(self._plan.scenario.load.agents)
        self._plan.agent_faults += [AgentFault(start, until, agent, "pause") for agent in agents]

    def _add_storm(self, _fault: ScriptedFault, start: int, end: int, size: float) -> None:
        self._plan.storms.append(Storm(start, end, int(size)))

    def _add_deployment(self, fault: ScriptedFault, start: int, end: int, drain_s: float) -> None:
        """Replace all processes in batches; about half of the new ones take over an address."""
        remaining = self._running(start)
        self._rng.shuffle(remaining)
        size = max(1, round(fault.part * len(remaining)))
        batches = [remaining[first : first + size] for first in range(0, len(remaining), size)]
        step = (end - start) // max(1, len(batches))
        for number, batch in enumerate(batches):
            for index in batch:
                replaced = self._plan.incarnations[index]
                replaced.drain = start + number * step
                replaced.stop = replaced.drain + int(drain_s * SECOND)
                port = replaced.port if self._rng.random() < SAME_ADDRESS_CHANCE else replaced.port + 1
                back = replaced.stop + DEPLOY_GAP_US
                successor = Incarnation(_draw_id(self._rng), replaced.machine, port, back, cold=True)
                self._plan.incarnations.append(successor)

    def _running(self, at: int) -> list[int]:
        """List the incarnations that run and do not drain at a time, by their index."""
        return [
            index
            for index, incarnation in enumerate(self._plan.incarnations)
            if incarnation.start <= at
            and (incarnation.stop is None or incarnation.stop > at)
            and (incarnation.drain is None or incarnation.drain > at)
        ]

    def _draw_servers(self, share: float, at: int) -> list[int]:
        running = self._running(at)
        return sorted(self._rng.sample(running, max(1, round(share * len(running))))) if running else []

    def _draw_periods(self, fault: ScriptedFault, start: int, end: int) -> Iterator[tuple[int, int]]:
        """Yield the index of a server and the begin of a period, each server with a phase of its own."""
        period_us = int(fault.every_s * SECOND)
        for index in self._draw_servers(fault.part, start):
            at = start + int(self._rng.random() * fault.every_s * SECOND)
            while at < end:
                yield index, at
                at += period_us

    def _end(self, index: int, at: int, down_us: int, vanishes: bool) -> None:
        """End a process; it comes back cold, with the same id and at the same address."""
        ended = self._plan.incarnations[index]
        ended.stop, ended.vanishes = at, vanishes
        back = at + max(down_us, int(self._rng.uniform(*RESTART_S) * SECOND))
        self._plan.incarnations.append(Incarnation(ended.id, ended.machine, ended.port, back, cold=True))


def _draw_notices(plan: Plan, rng: Random) -> list[Notice]:
    """Draw when discovery learns of each start, drain and stop."""
    low, high = plan.scenario.fleet.notice_s

    def delayed(at: int) -> int:
        return at + int(rng.uniform(low, high) * SECOND) if at > 0 else at

    notices: list[Notice] = []
    for index, incarnation in enumerate(plan.incarnations):
        serving = delayed(incarnation.start)
        notices.append(Notice(serving, index, "SERVING"))
        if incarnation.drain is not None:
            notices.append(Notice(max(serving, delayed(incarnation.drain)), index, "DRAINING"))
        if incarnation.stop is not None:
            deleted = max(serving, delayed(incarnation.stop))
            # A process that is back before discovery notices its end is never reported as deleted.
            successors = [
                other.start
                for other in plan.incarnations
                if other.id == incarnation.id and other.start > incarnation.start
            ]
            if not successors or deleted < successors[0]:
                notices.append(Notice(deleted, index, "DELETED"))
    notices.sort(key=lambda notice: notice.at)
    return notices


class _Arrivals:
    """Draws the arrivals of an open loop: a Poisson process, thinned to the shape of the load, and the floods."""

    def __init__(self, scenario: Scenario, rng: Random) -> None:
        self._scenario, self._rng = scenario, rng
        self._tails = [fault for fault in scenario.faults if fault.kind == "heavy_tail"]
        self._weights = [request_class.share for request_class in scenario.classes]
        self._shares = [tenant.share for tenant in scenario.tenants]
        self._phase = rng.random() * 2 * pi
        self._arrivals: list[Arrival] = []

    def draw(self) -> list[Arrival]:
        """Return the arrivals in the order of time."""
        self._draw_usual()
        for fault in self._scenario.faults:
            if fault.kind == "flood":
                self._draw_flood(fault)
        self._arrivals.sort(key=lambda arrival: arrival.at)
        return self._arrivals

    def _draw_usual(self) -> None:
        load, rng = self._scenario.load, self._rng
        peak = load.rate * (1 + load.swing)
        tenants = range(len(self._shares))
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(peak)) < self._scenario.length_s:
            # Thinned from the peak rate down to the rate of this moment.
            if rng.random() < self._level(at_s) / (1 + load.swing):
                self._add(at_s, rng.choices(tenants, self._shares)[0], over_share=False)

    def _level(self, at_s: float) -> float:
        """Return the multiple of the mean rate at a time."""
        load = self._scenario.load
        if load.shape == "wave":
            period_s = max(MIN_WAVE_S, self._scenario.length_s / 3)
            return 1 + load.swing * sin(2 * pi * at_s / period_s + self._phase)
        if load.shape == "bursts":
            return 1 + load.swing if int(at_s * BURSTS_PER_S) % BURST_PERIOD == 0 else 1 - load.swing / 2
        return 1.0

    def _draw_flood(self, flood: ScriptedFault) -> None:
        scenario = self._scenario
        tenant = [other.name for other in scenario.tenants].index(flood.target)
        extra = scenario.load.rate * self._shares[tenant] * ((flood.size or DEFAULT_SIZE["flood"]) - 1)
        end_s = min(scenario.length_s, flood.at_s + flood.len_s)
        at_s = flood.at_s
        while extra > 0 and (at_s := at_s + self._rng.expovariate(extra)) < end_s:
            self._add(at_s, tenant, over_share=True)

    def _add(self, at_s: float, tenant: int, over_share: bool) -> None:
        """Draw the class, the work and the agent of an arrival."""
        scenario, rng = self._scenario, self._rng
        request_class = rng.choices(range(len(self._weights)), self._weights)[0]
        name, work_ms = scenario.classes[request_class].name, rng.uniform(*scenario.classes[request_class].work_ms)
        for tail in self._tails:
            if tail.target == name and tail.at_s <= at_s < tail.at_s + tail.len_s and rng.random() < tail.part:
                work_ms *= tail.size or DEFAULT_SIZE["heavy_tail"]
        agent, work_us = rng.randrange(scenario.load.agents), max(1, int(work_ms * 1000))
        self._arrivals.append(Arrival(int(at_s * SECOND), agent, request_class, tenant, work_us, over_share))
