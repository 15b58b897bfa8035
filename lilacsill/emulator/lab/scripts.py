"""The scripts of the lab: what fails at exact times, each in the smallest world that shows it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..models.server import FOREVER
from .environment import MS, SECOND, LabSpec, ProbeFault
from .module import Module
from .world import World


@dataclass(frozen=True)
class Script:
    """A world and what happens in it."""

    name: str
    about: str
    spec: LabSpec
    prepare: Callable[[World], None]
    """Schedules what happens."""
    checks_idle_refusals: bool = False
    """No try may be refused while all servers are idle."""

    def play(self, module: Module, seed: int) -> World:
        """Play the script with a decision module; return the world."""
        world = World(module, self.spec, seed)
        self.prepare(world)
        return world.play()


def _stall_agents(at_s: float, length_us: int) -> Callable[[World], None]:
    def prepare(world: World) -> None:
        def begin() -> None:
            for agent in world.agents:
                agent.stall(length_us)

        world.at(at_s, begin)

    return prepare


def _reject_all(at_s: float, length_s: float) -> Callable[[World], None]:
    def prepare(world: World) -> None:
        def begin() -> None:
            for server in world.servers.values():
                server.faults.rejects_until = world.now + int(length_s * SECOND)

        world.at(at_s, begin)

    return prepare


def _reject_all_with_probes(fault: ProbeFault) -> Callable[[World], None]:
    def prepare(world: World) -> None:
        for server in world.servers.values():
            server.faults.probes = fault
        _reject_all(1.0, 0.3)(world)

    return prepare


def _crash(world: World) -> None:
    def begin() -> None:
        server = world.servers["s0"]
        server.faults.refuses_connects = True
        server.selected = 0  # counts from the crash on
        for agent in world.agents:
            agent.drop_connections("s0")

    world.at(1.0, begin)


def _false_reports(world: World) -> None:
    faults = world.servers["s0"].faults
    faults.rejects_until = FOREVER
    faults.reports_idle = True


def _foreign_work(world: World) -> None:
    for number in range(40):
        world.at(1.0 + number * 0.05, lambda: world.add_foreign_work("s0", 4))


def _hang(world: World) -> None:
    for server in world.servers.values():
        server.faults.hang_share = 0.05


def _reset(world: World) -> None:
    for server in world.servers.values():
        server.faults.reset_share = 0.02


BASE = LabSpec()
SCRIPTS: dict[str, Script] = {
    script.name: script
    for script in (
        Script(
            "cold_rush",
            "the agents get no CPU for 250 ms from their first requests on, and the load is high",
            replace(BASE, rate=440.0, first_agent_share=0.84, length_us=3 * SECOND),
            _stall_agents(0.003, 250 * MS),
            True,
        ),
        Script(
            "turned_away",
            "all servers turn everything away for 300 ms, then are idle",
            BASE,
            _reject_all(1.0, 0.3),
            True,
        ),
        Script(
            "pause",
            "the whole fleet stands still for a second with 50 requests out",
            replace(BASE, length_us=5 * SECOND),
            lambda world: world.pause_all(1.0, 1.0),
            True,
        ),
        Script(
            "all_new", "every server is replaced at once", BASE, lambda world: world.at(1.5, world.replace_all), True
        ),
        Script(
            "slow_connects",
            "connections take 60 ms to come up in the first 300 ms",
            replace(BASE, slow_connects_until=300 * MS, slow_connect_us=60 * MS, length_us=3 * SECOND),
            lambda world: None,
            True,
        ),
        Script(
            "lagging",
            "reports lag 200 ms, and all servers turn everything away for 300 ms",
            replace(BASE, report_lag_us=200 * MS),
            _reject_all(1.0, 0.3),
            True,
        ),
        Script(
            "probes_refused",
            "the same as turned_away, and no probe is answered",
            BASE,
            _reject_all_with_probes(ProbeFault.REJECTED),
            True,
        ),
        Script(
            "probes_late",
            "the same, and probes come back after 40 ms",
            BASE,
            _reject_all_with_probes(ProbeFault.DELAYED),
            True,
        ),
        Script(
            "probes_capped",
            "the same, and every second probe is turned away",
            BASE,
            _reject_all_with_probes(ProbeFault.HALF_REJECTED),
            True,
        ),
        Script("crashed", "one process refuses every connection", BASE, _crash),
        Script("liar", "one server turns everything away for ever and reports nothing held", BASE, _false_reports),
        Script("full_of_others", "one server is full of work that is not ours", BASE, _foreign_work),
        Script(
            "loud_and_quiet",
            "four agents, one with nine tenths of the traffic",
            replace(BASE, agents=4, first_agent_share=0.9),
            _stall_agents(0.1, 150 * MS),
            True,
        ),
        Script("hangs", "one answer in twenty never comes; the work is done", replace(BASE, rate=300.0), _hang),
        Script("resets", "one attempt in fifty finds its connection broken", BASE, _reset),
        Script("large", "a list of 500", replace(BASE, servers=500, rate=6000.0, length_us=SECOND), lambda world: None),
    )
}
"""The scripts by name."""
