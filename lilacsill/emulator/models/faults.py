"""Draw the faults of agents and of the links between them from a scenario's script. The module does no I/O.

A fault of a process says from when to when the agent does nothing. A fault of a link is a rule for what passes between
agents (datagrams, through the relay), or between agents and servers or discovery (connections, at their listeners).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from .groups import members
from .scenario import SERVICES, Load, ScriptedFault

SECOND = 1_000_000
"""Microseconds."""
NEVER = 2**62
"""A time in microseconds that no run reaches."""
RECOVERY_SPREAD = (0.5, 1.5)
"""After a power loss each process is back after its own time, between these multiples of the scripted one."""


@dataclass(slots=True, frozen=True)
class AgentFault:
    """A time in which one agent does nothing; in microseconds since the run began."""

    at: int
    until: int
    """The agent continues, or is started again; for a restart: the earliest time, if its process has ended by then."""
    agent: int
    kind: str
    """`kill`, `stall`, `restart`, or `pause`: a stall so short that all rules hold during it."""


@dataclass(slots=True, frozen=True)
class LinkFault:
    """A fault of the links between `agents` and `to`; times in microseconds since the run began."""

    start: int
    end: int
    agents: tuple[int, ...]
    to: tuple[int, ...] | str
    """Numbers of agents, or `servers` or `discovery`."""
    outbound: bool = True
    """The fault applies to what `agents` send."""
    inbound: bool = True
    """The fault applies to what `agents` receive."""
    partitioned: bool = False
    loss: float = 0.0
    """The share of datagrams that are lost."""
    delay_ms: tuple[float, float] = (0.0, 0.0)
    """Median and 99th percentile."""
    duplicated: float = 0.0
    """The share of datagrams that arrive twice."""


def agent_faults(fault: ScriptedFault, size_s: float, load: Load, length_us: int, rng: Random) -> list[AgentFault]:
    """Draw the agents' faults of an agent_kill, agent_stall, agent_restart or power_loss.

    Args:
        fault: What the script says.
        size_s: How long an agent is away; for a stall: how long each one lasts.
        load: Gives the number of agents and zones.
        length_us: The length of the run; no stall begins later.
        rng: Draws the agents, and the time of each after a power loss.
    """
    start, away_us = int(fault.at_s * SECOND), int(size_s * SECOND)
    agents = members(fault.agents, load.agents, load.zones, rng)
    if fault.kind == "agent_kill":
        return [AgentFault(start, start + away_us, agent, "kill") for agent in agents]
    if fault.kind == "power_loss":
        return [AgentFault(start, start + draw_recovery_us(away_us, rng), agent, "kill") for agent in agents]
    if fault.kind == "agent_restart":
        return [AgentFault(start, start, agent, "restart") for agent in agents]
    stalls: list[AgentFault] = []
    at, step = start, max(int(fault.every_s * SECOND), away_us + 1)
    while at < min(start + int(fault.len_s * SECOND), length_us):  # several bursts where `len_s` is long enough
        stalls += [AgentFault(at, at + away_us, agent, "stall") for agent in agents]
        at += step
    return stalls


def draw_recovery_us(scripted_us: int, rng: Random) -> int:
    """Draw how long one process takes to be back after a power loss."""
    return int(scripted_us * rng.uniform(*RECOVERY_SPREAD))


def link_fault(fault: ScriptedFault, size_ms: float, load: Load, rng: Random) -> LinkFault:
    """Draw the rule of a partition, or of a lossy or late link.

    Args:
        fault: What the script says.
        size_ms: The median delay of a late link.
        load: Gives the number of agents and zones.
        rng: Draws the agents.
    """
    agents = members(fault.agents, load.agents, load.zones, rng)
    to: tuple[int, ...] | str = fault.to
    if fault.to == "others":
        # Where the group is all agents, the links are those between any two.
        to = tuple(agent for agent in range(load.agents) if agent not in set(agents)) or agents
    elif fault.to not in SERVICES:
        to = members(fault.to, load.agents, load.zones, rng)
    return LinkFault(
        start=int(fault.at_s * SECOND),
        end=int((fault.at_s + fault.len_s) * SECOND),
        agents=agents,
        to=to,
        outbound=fault.way != "in",
        inbound=fault.way != "out",
        partitioned=fault.kind == "partition",
        loss=fault.part if fault.kind == "lossy" else 0.0,
        delay_ms=(size_ms, max(size_ms, fault.p99_ms)) if fault.kind == "late" else (0.0, 0.0),
        duplicated=fault.twice,
    )


def sides(links: Sequence[LinkFault], agents: int) -> list[int]:
    """Give each agent the number of its side: the partitions from servers separate agents of one side together.

    Returns:
        The side of each agent; empty where no partition separates agents from servers.
    """
    groups = [frozenset(link.agents) for link in links if link.to == "servers"]
    if not groups:
        return []
    numbers: dict[tuple[bool, ...], int] = {}
    return [numbers.setdefault(tuple(agent in group for group in groups), len(numbers)) for agent in range(agents)]


def partitions_from(service: str, links: Sequence[LinkFault]) -> list[LinkFault]:
    """List the faults of connections to `servers` or `discovery`, in the order of time."""
    return sorted((link for link in links if link.to == service), key=lambda link: link.start)
