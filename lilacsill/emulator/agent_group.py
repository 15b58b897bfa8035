"""The agents of a run: a few by the deployment's `run` line, or many of them from the rig, which forks them.

A start by the `run` line costs 0.3 s of CPU, so that hundreds at once would overload the machine; faults of processes
and links need the rig in any case. Both ways run the program's own `main`.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Protocol

from . import agents as run_line
from .models.faults import NEVER, AgentFault, LinkFault
from .models.judge import Absence
from .models.plan import Plan
from .models.scenario import SERVICES
from .own_processes import ServerProcesses
from .processes.rig import AgentProcess, Rig, rig

MAX_RUN_LINE_AGENTS = 16
"""More agents come from the rig."""
MAX_STARTING = 32
"""Agents of the rig that start at once."""
AGENTS_PER_SUBNET = 250


class AgentGroup(Protocol):
    """All agents of a run."""

    def addresses(self) -> list[tuple[str, int]]:
        """Return where each agent listens for clients."""

    def stall(self, number: int, stalled: bool) -> None:
        """Take the CPU from an agent, or give it back."""

    async def kill(self, number: int) -> None:
        """Kill an agent."""

    async def stop_one(self, number: int) -> None:
        """Stop an agent as an operator does: it first answers what it has in flight."""

    async def restart(self, number: int) -> None:
        """Start an agent that was killed or stopped."""

    async def set_rules(self, rules: list[dict[str, Any]]) -> None:
        """Replace the rules of the links between agents."""

    async def stop(self) -> None:
        """Stop all agents."""

    def figures(self) -> list[dict[str, float]]:
        """Return CPU, memory and descriptors of each agent (`agents.figures`)."""

    def ended(self) -> list[int | None]:
        """Return the exit status of each agent; None for one that runs or that the script has ended."""

    def log(self) -> list[str]:
        """Return the log lines of all agents."""


class FaultError(Exception):
    """The agents cannot play a fault of processes or links; `needs_rig` says which plans have such faults."""


class RunLineAgents:
    """A few agents, started by the `run` line."""

    def __init__(self) -> None:
        self.agents: list[run_line.Agent] = []

    async def start(self, plan: Plan, servers: ServerProcesses, folder: Path, record: Path | None) -> None:
        """Start all agents, one after the other.

        Raises:
            AgentError: One did not start.
        """
        for number, port in enumerate(servers.discovery):
            known = servers.known(number)
            self.agents.append(await run_line.start(plan.scenario, number, port, known, folder, record))

    def addresses(self) -> list[tuple[str, int]]:
        """Return where each agent listens for clients."""
        return [("127.0.0.1", agent.port) for agent in self.agents]

    def stall(self, number: int, stalled: bool) -> None:
        """Take the CPU from an agent, or give it back."""
        self.agents[number].stall(stalled)

    async def kill(self, number: int) -> None:
        """Raise FaultError."""
        raise FaultError("faults of processes need the rig")

    async def stop_one(self, number: int) -> None:
        """Raise FaultError."""
        raise FaultError("faults of processes need the rig")

    async def restart(self, number: int) -> None:
        """Raise FaultError."""
        raise FaultError("faults of processes need the rig")

    async def set_rules(self, rules: list[dict[str, Any]]) -> None:
        """Do nothing without rules; raise FaultError otherwise."""
        if rules:
            raise FaultError("faults of links need the rig")

    async def stop(self) -> None:
        """Stop all agents."""
        await asyncio.gather(*(agent.stop() for agent in self.agents))

    def figures(self) -> list[dict[str, float]]:
        """Return CPU, memory and descriptors of each agent."""
        return [agent.figures() for agent in self.agents]

    def ended(self) -> list[int | None]:
        """Return the exit status of each agent; None for one that runs."""
        return [agent.process.returncode for agent in self.agents]

    def log(self) -> list[str]:
        """Return the log lines of all agents."""
        return [line for agent in self.agents for line in agent.log]


class RigAgents:
    """Agents of the rig, each at an address of its own, which it keeps when it starts again."""

    def __init__(self, agents: Rig, addresses: list[tuple[str, int]]) -> None:
        self._rig, self._addresses = agents, addresses
        self._down: set[int] = set()  # ended by the script

    async def start(self) -> None:
        """Start all agents, a few at once.

        Raises:
            RigError: One did not start.
        """
        starting = asyncio.Semaphore(MAX_STARTING)

        async def start_one(number: int) -> None:
            async with starting:
                await self._rig.start(number)

        await asyncio.gather(*(start_one(number) for number in range(len(self._addresses))))

    def addresses(self) -> list[tuple[str, int]]:
        """Return where each agent listens for clients."""
        return self._addresses

    def stall(self, number: int, stalled: bool) -> None:
        """Take the CPU from an agent, or give it back."""
        self._rig.stall(number, stalled)

    async def kill(self, number: int) -> None:
        """Kill an agent."""
        self._down.add(number)
        await self._rig.kill(number)

    async def stop_one(self, number: int) -> None:
        """Stop an agent as an operator does: it first answers what it has in flight."""
        self._down.add(number)
        self._rig.agents[number].send_signal(signal.SIGTERM)
        await self._rig.agents[number].wait_for_end()

    async def restart(self, number: int) -> None:
        """Start an agent that was killed or stopped.

        Raises:
            RigError: It did not start.
        """
        await self._rig.start(number)
        self._down.discard(number)

    async def set_rules(self, rules: list[dict[str, Any]]) -> None:
        """Replace the rules of the links between agents."""
        await self._rig.set_rules(rules)

    async def stop(self) -> None:
        """Stop all agents."""

        async def stop_process(process: AgentProcess) -> None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            await process.wait_for_end()

        await asyncio.gather(*(stop_process(process) for process in self._rig.running()))

    def figures(self) -> list[dict[str, float]]:
        """Return CPU, memory and descriptors of each agent; nothing for one that never started."""
        agents = self._rig.agents
        return [
            run_line.figures(agents[number].pid) if number in agents else {} for number in range(len(self._addresses))
        ]

    def ended(self) -> list[int | None]:
        """Return the exit status of each agent; None for one that runs or that the script has ended."""
        agents = self._rig.agents
        return [None if number in self._down else agents[number].status for number in sorted(agents)]

    def log(self) -> list[str]:
        """Return the log lines of all agents."""
        return [line for _, process in sorted(self._rig.agents.items()) for line in process.lines]


def needs_rig(plan: Plan) -> bool:
    """Return whether a plan needs agents of the rig."""
    scenario = plan.scenario
    return (
        scenario.load.agents > MAX_RUN_LINE_AGENTS
        or scenario.peers.enabled
        or scenario.recovery.enabled
        or bool(plan.link_faults)
        or any(fault.kind != "pause" for fault in plan.agent_faults)
    )


async def start(
    plan: Plan, servers: ServerProcesses, folder: Path, record: Path | None, stack: AsyncExitStack
) -> AgentGroup:
    """Start all agents and return them once they listen.

    Args:
        plan: What is played.
        servers: Started before.
        folder: For the files of the agents.
        record: A folder for their recordings; None: they do not record.
        stack: Ends what has not ended by then.

    Raises:
        AgentError: An agent by the `run` line did not start.
        RigError: An agent of the rig did not start.
    """
    if not needs_rig(plan):
        few = RunLineAgents()
        stack.push_async_callback(few.stop)
        await few.start(plan, servers, folder, record)
        return few
    scenario = plan.scenario
    addresses = [_free_address(number) for number in range(scenario.load.agents)]

    def config(number: int) -> dict[str, Any]:
        host, port = addresses[number]
        known = servers.known(number)
        return run_line.configuration(scenario, number, servers.discovery[number], known, f"{host}:{port}")

    operator = _operator_file(plan, folder, record)
    agents = await stack.enter_async_context(
        rig(scenario.load.agents, folder, config, operator, plan.seed, scenario.load.sockets)
    )
    many = RigAgents(agents, addresses)
    await many.start()
    return many


def _operator_file(plan: Plan, folder: Path, record: Path | None) -> str:
    scenario = plan.scenario
    sections = []
    if scenario.peers.enabled:
        sections.append(
            f'[peers]\nenabled = true\nfleet = "{scenario.name}"\nperiod_ms = {scenario.peers.period_ms}\n'
            f"lease_ms = {scenario.peers.lease_ms}\n"
        )
        if record is not None:
            sections.append(f"records = {json.dumps(str((record / 'nNUMBER.jsonl').absolute()))}\n")
    if scenario.recovery.enabled:  # all agents share one folder, like those of one machine
        sections.append(
            f'[recovery]\nfolder = {json.dumps(str(folder))}\nfleet = "{scenario.name}"\n'
            f"every_ms = {scenario.recovery.every_ms}\n"
        )
    if record is not None:
        sections.append(run_line.recorder_section(record, "nNUMBER"))
    return "".join(sections)


def _free_address(number: int) -> tuple[str, int]:
    host = f"127.66.{number // AGENTS_PER_SUBNET}.{number % AGENTS_PER_SUBNET + 1}"
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


async def play_faults(
    group: AgentGroup, faults: Sequence[AgentFault], now: Callable[[], int], length_us: int, absences: list[Absence]
) -> None:
    """Play the faults of all processes at their times.

    Args:
        group: The agents.
        faults: In the order of time.
        now: The time in microseconds since the run began.
        length_us: The length of the run.
        absences: Gets when an agent did nothing.

    Raises:
        RigError: An agent did not start again.
    """
    by_agent: dict[int, list[AgentFault]] = {}
    for fault in faults:
        by_agent.setdefault(fault.agent, []).append(fault)
    await asyncio.gather(
        *(_play_agent_faults(group, of_agent, now, length_us, absences) for of_agent in by_agent.values())
    )


async def _play_agent_faults(
    group: AgentGroup, faults: Sequence[AgentFault], now: Callable[[], int], length_us: int, absences: list[Absence]
) -> None:
    async def wait_until(at: int) -> None:
        await asyncio.sleep(max(0, at - now()) / 1e6)

    for fault in faults:
        await wait_until(fault.at)
        began = now()
        if fault.until < began:
            continue  # an earlier fault of this agent lasted longer
        if fault.kind in ("stall", "pause"):
            try:
                group.stall(fault.agent, True)
                await wait_until(min(fault.until, length_us))
            finally:
                group.stall(fault.agent, False)
            if fault.kind == "stall":
                absences.append(Absence(fault.agent, began, now()))
        elif fault.kind == "restart":
            await group.stop_one(fault.agent)
            await group.restart(fault.agent)
        else:
            await group.kill(fault.agent)
            if fault.until >= length_us:
                absences.append(Absence(fault.agent, began, NEVER))
                return
            await wait_until(fault.until)
            await group.restart(fault.agent)
            absences.append(Absence(fault.agent, began, now()))


def unreachable_times(links: Sequence[LinkFault]) -> list[Absence]:
    """List when servers cannot hear from which agent."""
    return [
        Absence(agent, link.start, link.end)
        for link in links
        if link.to == "servers" and link.outbound
        for agent in link.agents
    ]


def relay_rules(links: Sequence[LinkFault], now_us: int) -> list[dict[str, Any]]:
    """Return the rules between agents as the relay takes them (`relay.parse_rule`).

    Args:
        links: The faults of all links.
        now_us: The time since the run began; below 0: it begins later.
    """
    return [_relay_rule(link, now_us) for link in links if link.to not in SERVICES]


def _relay_rule(link: LinkFault, now_us: int) -> dict[str, Any]:
    ends = (list(link.agents), list(link.to))
    sources, destinations = ends if link.outbound else ends[::-1]
    return {
        "in_s": (link.start - now_us) / 1e6,
        "len_s": (link.end - link.start) / 1e6,
        "from": sources,
        "to": destinations,
        "both": link.outbound and link.inbound,
        "cut": link.partitioned,
        "loss": link.loss,
        "median_ms": link.delay_ms[0],
        "p99_ms": link.delay_ms[1],
        "twice": link.duplicated,
    }
