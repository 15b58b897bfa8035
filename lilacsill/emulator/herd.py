"""Agents of a run: by the deployment's `run` line one by one, or many of them from one process that forks them.

A start by the `run` line costs 0.3 s of CPU, so that hundreds at once would be a trouble of the emulator's own; faults
of processes and links need the rig in any case. What runs is the program's own `main` both ways.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from . import agents as by_line
from .models.faults import AgentFault, LinkFault
from .models.judge import Absence
from .models.plan import Plan
from .models.scenario import SERVICES
from .parts import Fleet
from .processes.rig import Child, Rig, rig

LINE_MOST = 16  # agents that are started by the run line, where nothing asks for more
TOGETHER = 32  # of those from the rig start at once


def needs_rig(plan: Plan) -> bool:
    return (
        plan.scenario.load.agents > LINE_MOST
        or plan.scenario.peers.enabled
        or plan.scenario.recovery.enabled
        or bool(plan.link_faults)
        or any(x.kind != "pause" for x in plan.agent_faults)
    )


class Line:
    """A few agents by the `run` line."""

    def __init__(self) -> None:
        self.agents: list[by_line.Agent] = []

    async def start(self, plan: Plan, fleet: Fleet, folder: Path, record: Path | None) -> None:
        for number, port in enumerate(fleet.discovery):
            self.agents.append(await by_line.start(plan.scenario, number, port, fleet.known(number), folder, record))

    def addresses(self) -> list[tuple[str, int]]:
        return [("127.0.0.1", a.port) for a in self.agents]

    def stand_still(self, number: int, still: bool) -> None:
        self.agents[number].stand_still(still)

    async def stop(self) -> None:
        await asyncio.gather(*(a.stop() for a in self.agents))

    def figures(self) -> list[dict[str, float]]:
        return [a.figures() for a in self.agents]

    def ended(self) -> list[int | None]:
        return [a.process.returncode for a in self.agents]

    def log(self) -> list[str]:
        return [line for a in self.agents for line in a.log]


class Many:
    """Agents from the rig, each at an address of its own, which it keeps through restarts."""

    def __init__(self, rig_: Rig, listens: list[tuple[str, int]]) -> None:
        self.rig, self._listens = rig_, listens
        self._down: set[int] = set()  # by the script

    async def start(self) -> None:
        """All of them, a few at a time. Raises RigError."""
        room = asyncio.Semaphore(TOGETHER)

        async def one(number: int) -> None:
            async with room:
                await self.rig.start(number)

        await asyncio.gather(*(one(n) for n in range(len(self._listens))))

    def addresses(self) -> list[tuple[str, int]]:
        return self._listens

    def stand_still(self, number: int, still: bool) -> None:
        self.rig.stall(number, still)

    async def kill(self, number: int) -> None:
        self._down.add(number)
        await self.rig.kill(number)

    async def quit(self, number: int) -> None:
        """As an operator stops it: it answers what it holds first."""
        self._down.add(number)
        self.rig.agents[number].send(signal.SIGTERM)
        await self.rig.agents[number].ended()

    async def again(self, number: int) -> None:
        await self.rig.start(number)
        self._down.discard(number)

    async def stop(self) -> None:
        async def one(child: Child) -> None:
            child.send(signal.SIGCONT)
            child.send(signal.SIGTERM)
            await child.ended()

        await asyncio.gather(*(one(c) for c in self.rig.running()))

    def figures(self) -> list[dict[str, float]]:
        return [
            by_line.figures(self.rig.agents[n].pid) if n in self.rig.agents else {} for n in range(len(self._listens))
        ]

    def ended(self) -> list[int | None]:
        return [None if n in self._down else self.rig.agents[n].status for n in sorted(self.rig.agents)]

    def log(self) -> list[str]:
        return [line for n in sorted(self.rig.agents) for line in self.rig.agents[n].lines]


async def start(plan: Plan, fleet: Fleet, folder: Path, record: Path | None, stack: AsyncExitStack) -> Line | Many:
    """All agents, listening; `stack` ends what is not ended by then. Raises AgentError and RigError."""
    if not needs_rig(plan):
        line = Line()
        stack.push_async_callback(line.stop)
        await line.start(plan, fleet, folder, record)
        return line
    s = plan.scenario
    listens = [_free(f"127.66.{n // 250}.{n % 250 + 1}") for n in range(s.load.agents)]

    def config(number: int) -> dict[str, Any]:
        host, port = listens[number]
        return by_line.document(s, number, fleet.discovery[number], fleet.known(number), f"{host}:{port}")

    r = await stack.enter_async_context(
        rig(s.load.agents, folder, config, _operator(plan, folder, record), plan.seed, s.load.sockets)
    )
    many = Many(r, listens)
    await many.start()
    return many


def _operator(plan: Plan, folder: Path, record: Path | None) -> str:
    p = plan.scenario.peers
    parts = []
    if p.enabled:
        parts.append(
            f'[peers]\nenabled = true\nfleet = "{plan.scenario.name}"\nperiod_ms = {p.period_ms}\n'
            f"lease_ms = {p.lease_ms}\n"
        )
        if record is not None:
            parts.append(f"records = {json.dumps(str((record / 'nNUMBER.jsonl').absolute()))}\n")
    if plan.scenario.recovery.enabled:  # one folder for all, as of agents of one machine
        parts.append(
            f'[recovery]\nfolder = {json.dumps(str(folder))}\nfleet = "{plan.scenario.name}"\n'
            f"every_ms = {plan.scenario.recovery.every_ms}\n"
        )
    if record is not None:
        parts.append(by_line.recorder(record, "nNUMBER"))
    return "".join(parts)


def _free(at: str) -> tuple[str, int]:
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((at, 0))
        return at, int(s.getsockname()[1])


async def afflict(
    herd: Line | Many, faults: list[AgentFault], now: Callable[[], int], length_us: int, away: list[Absence]
) -> None:
    """The faults of all processes at their times; `away` gets when an agent did nothing. Raises RigError."""
    by_agent: dict[int, list[AgentFault]] = {}
    for x in faults:
        by_agent.setdefault(x.agent, []).append(x)
    await asyncio.gather(*(_afflict(herd, some, now, length_us, away) for some in by_agent.values()))


async def _afflict(
    herd: Line | Many, faults: list[AgentFault], now: Callable[[], int], length_us: int, away: list[Absence]
) -> None:
    async def until(at: int) -> None:
        await asyncio.sleep(max(0, at - now()) / 1e6)

    for x in faults:
        await until(x.at)
        began = now()
        if x.until < began:
            continue  # an earlier fault of this agent lasted beyond it
        if x.kind in ("stall", "pause"):
            try:
                herd.stand_still(x.agent, True)
                await until(min(x.until, length_us))
            finally:
                herd.stand_still(x.agent, False)
            if x.kind == "stall":
                away.append(Absence(x.agent, began, now()))
            continue
        assert isinstance(herd, Many), "faults of processes need the rig"
        if x.kind == "restart":
            await herd.quit(x.agent)
            await herd.again(x.agent)
            continue
        await herd.kill(x.agent)
        if x.until >= length_us:
            away.append(Absence(x.agent, began, length_us + 2**40))
            return
        await until(x.until)
        await herd.again(x.agent)
        away.append(Absence(x.agent, began, now()))


def unseen(links: list[LinkFault]) -> list[Absence]:
    """When servers hear nothing from which agent."""
    return [Absence(n, x.start, x.end) for x in links if x.to == "servers" and x.outbound for n in x.agents]


def relay_rules(links: list[LinkFault], since_now_us: int) -> list[dict[str, Any]]:
    """As the relay takes them; the run began so long ago, or begins in that time if below 0."""
    found = []
    for x in links:
        if x.to in SERVICES:
            continue
        ends = (list(x.agents), list(x.to))
        from_, to = ends if x.outbound else ends[::-1]
        found.append(
            {
                "in_s": (x.start - since_now_us) / 1e6,
                "len_s": (x.end - x.start) / 1e6,
                "from": from_,
                "to": to,
                "both": x.outbound and x.inbound,
                "cut": x.partitioned,
                "loss": x.loss,
                "median_ms": x.delay_ms[0],
                "p99_ms": x.delay_ms[1],
                "twice": x.duplicated,
            }
        )
    return found
