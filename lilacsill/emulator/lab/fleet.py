"""A fleet in the lab: many agents, each with little traffic, before many servers, and what they do together.

What is safe for one agent may be harmful for forty: the counts are sums over all agents, by second and by server.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec

from .environment import MS, SECOND, LabSpec, Server
from .module import Module
from .world import World

SPEC = LabSpec(
    servers=60,
    agents=40,
    rate=870.0,
    work_us=36 * MS,
    quotas=(819.0, 385.0),
    first_tenant_share=0.68,
    aim_us=140 * MS,
    deadline_us=400 * MS,
    length_us=9 * SECOND,
    probe_price=0.08,
    even=True,
    list_lines_per_s=1800.0,
)
FALL_WINDOW_US = 3 * SECOND
FALL_MULTIPLE = 2.5
"""A cold server goes down when it is sent more than this multiple of what it can do in the window."""
MEAN_OVER_MEDIAN = 1.2
"""Of the log-normal work with a spread of 0.6."""


class Counts(msgspec.Struct, frozen=True):
    """What a fleet of agents did; the encoded names are keys of the benchmark's JSON."""

    service: float
    """The share of first tries served within the aim."""
    refused: int
    probes: int
    connects: int
    list_calls: int
    list_rejections: int = msgspec.field(name="list_turned_away")
    list_lines: int
    max_calls_per_second: int = msgspec.field(name="calls_in_a_second")
    cold_share: float
    """The largest load sent to one cold server in a window, as a share of what makes it go down."""
    fallen: int
    """Cold servers that went down under load."""

    @classmethod
    def of(cls, world: World) -> Counts:
        """Count what happened in a world that was played."""
        discovery = world.discovery
        return cls(
            service=world.service(),
            refused=world.refused(),
            probes=sum(agent.probes for agent in world.agents),
            connects=sum(server.connects for server in world.servers.values()),
            list_calls=discovery.calls.total(),
            list_rejections=discovery.rejections.total(),
            list_lines=discovery.lines.total(),
            max_calls_per_second=max(discovery.calls.values(), default=0),
            cold_share=cold_share(world),
            fallen=sum(server.model.fallen for server in world.servers.values()),
        )


def cold_share(world: World) -> float:
    """Return the largest load sent to one cold server in a window, as a share of what makes it go down."""
    mean_us = world.spec.work_us * MEAN_OVER_MEDIAN
    return max((_max_cold_share(server, mean_us) for server in world.servers.values()), default=0.0)


def _max_cold_share(server: Server, mean_us: float) -> float:
    """Count requests of the mean work, against the slowest capacity while the server warms up."""
    largest, begin = 0.0, 0
    for index, at in enumerate(server.cold_sends):
        while server.cold_sends[begin] <= at - FALL_WINDOW_US:
            begin += 1
        able = server.model.warmth(at) * FALL_WINDOW_US / mean_us
        largest = max(largest, (index - begin + 1) / (FALL_MULTIPLE * able))
    return largest


def _calm(world: World) -> None:
    """Let nothing happen."""


def _deploy(world: World) -> None:
    """Replace six in ten servers within four seconds; successors are listed 2.5 s later."""
    count = world.spec.servers * 3 // 10
    world.at(1.5, lambda: world.replace_oldest(count, 2.5))
    world.at(3.5, lambda: world.replace_oldest(count, 2.5))


def _zone_outage(world: World) -> None:
    """Crash a third of the servers, which come back cold after 2.5 s."""
    world.at(1.5, lambda: world.crash_oldest(world.spec.servers // 3, 2.5))


def _release(world: World) -> None:
    """Let one server in six fail from the first second on, replace servers, and kill seven agents in ten."""

    def fail() -> None:
        for number in range(world.spec.servers // 6):
            world.servers[f"s{world.spec.servers - 1 - number}"].faults.error_share = 0.7

    def kill() -> None:
        for agent in world.agents[: len(world.agents) * 7 // 10]:
            agent.kill()

    world.at(1.0, fail)
    for number in range(4):
        world.at(2.5 + number, lambda: world.replace_oldest(world.spec.servers * 3 // 20, 2.0))
    world.at(4.0, kill)


FLEETS: dict[str, Callable[[World], None]] = {
    "calm": _calm,
    "join": _deploy,
    "zone": _zone_outage,
    "herd": _release,
}
"""The scripts by name."""


def play(name: str, module: Module, seed: int, agents: int = SPEC.agents, seconds: float | None = None) -> Counts:
    """Play one script of `FLEETS` and count what happened.

    Args:
        name: Of the script.
        module: The decision module to try.
        seed: Of everything that is drawn.
        agents: The number of agents.
        seconds: The length, in place of the usual one.
    """
    spec = replace(SPEC, agents=agents)
    if seconds is not None:
        spec = replace(spec, length_us=int(seconds * SECOND))
    world = World(module, spec, seed)
    FLEETS[name](world)
    return Counts.of(world.play())
