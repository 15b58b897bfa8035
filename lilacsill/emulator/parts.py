"""The emulator's own processes: servers with discovery, and clients; told and asked over their pipes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from typing import Any

import msgspec

from .models.judge import RequestRecord
from .models.plan import Plan
from .processes.pipe import Pipe
from .sockets.clients import Outcome

START_S = 30.0
# What one process carries without being behind, with room; a machine has only so many cores. A request asks two servers
# for their load, and agents open connections to many: 200 at 800 a second are played by three processes with servers.
CLIENT_RATE, SERVER_RATE, CONNECTIONS = 900, 400, 2_500
CLIENTS_MOST, SERVERS_MOST = 3, 4


class RunError(Exception):
    """The run could not be played; the text says why."""


def client_parts(plan: Plan) -> int:
    return min(CLIENTS_MOST, plan.scenario.load.agents, ceil(_peak(plan) / CLIENT_RATE))


def server_parts(plan: Plan) -> int:
    s = plan.scenario
    wanted = max(ceil(_peak(plan) / SERVER_RATE), ceil(s.load.agents * s.fleet.servers / CONNECTIONS))
    return min(SERVERS_MOST, s.fleet.servers, wanted)


def _peak(plan: Plan) -> float:
    return max(1.0, plan.scenario.load.rate * (1 + plan.scenario.load.swing))


@dataclass
class Fleet:
    """The processes with servers; the first one has discovery."""

    parts: list[Pipe]
    discovery: list[int]  # a port for each agent
    _known: list[dict[str, Any]]  # by side
    _sides: list[int]

    def known(self, agent: int) -> dict[str, Any]:
        """The list that this agent starts with."""
        sides = sorted(set(self._sides)) or [0]
        return self._known[sides.index(self._sides[agent]) if self._sides else 0]

    def begin(self, t0: int) -> None:
        for part in self.parts:
            part.say({"t0": t0})

    def order(self, line: bytes) -> None:
        stdin = self.parts[0].process.stdin
        assert stdin is not None
        stdin.write(line)

    async def books(self) -> dict[str, Any]:
        """Of all processes, which end with it."""
        whole: dict[str, Any] = {}
        for part in self.parts:
            part.close()
        for part in self.parts:
            for key, value in (await part.expect()).items():
                whole[key] = whole[key] + value if key in whole else value
            await part.process.wait()
        whole["delays_us"].sort()
        whole["lags_us"].sort()
        return whole

    async def end(self) -> None:
        await asyncio.gather(*(part.kill() for part in self.parts))


async def start_fleet(path: str, plan: Plan, parts: int = 1) -> Fleet:
    """Raises RunError and PipeError."""
    fleet = Fleet([], [], [], plan.sides)
    try:
        async with asyncio.timeout(START_S):
            for number in range(parts):
                fleet.parts.append(
                    await Pipe.open("lilacsill.emulator.sockets.fleet", path, str(plan.seed), str(number), str(parts))
                )
            told = [await part.expect() for part in fleet.parts]
            for part in fleet.parts:
                part.say({"ports": [row for t in told for row in t["ports"]], "memory": [t["memory"] for t in told]})
            ready = [await part.expect() for part in fleet.parts]
    except TimeoutError:
        await fleet.end()
        raise RunError(f"the emulated fleet was not ready within {START_S:.0f} s") from None
    except BaseException:  # nobody else knows of the processes yet
        await fleet.end()
        raise
    fleet.discovery, fleet._known = ready[0]["discovery"], ready[0]["known"]
    return fleet


@dataclass
class Crowd:
    """The processes with clients."""

    plan: Plan
    parts: list[Pipe]
    books: list[RequestRecord]
    outcomes: list[Outcome]
    late_us: list[int]
    opened: int = 0
    cpu_s: float = 0.0

    def begin(self, addresses: list[tuple[str, int]], t0: int) -> None:
        for part in self.parts:
            part.say({"addresses": addresses, "t0": t0})

    async def run(self, progress: Callable[[int, int], None]) -> None:
        """Until the last answer; `progress` hears how many were sent and served in time. Raises PipeError."""
        counts = [(0, 0)] * len(self.parts)

        async def follow(number: int, part: Pipe) -> None:
            while "books" not in (told := await part.expect()):
                counts[number] = told["sent"], told["served"]
                if number == 0:
                    progress(sum(c[0] for c in counts), sum(c[1] for c in counts))
            self._take(told)

        await asyncio.gather(*(follow(n, part) for n, part in enumerate(self.parts)))
        self.outcomes.sort(key=lambda o: o.number)

    def _take(self, told: dict[str, Any]) -> None:
        self.books += msgspec.convert(told["books"], list[RequestRecord])
        self.outcomes += [Outcome(row[0], self.plan.arrivals[row[0]], *row[1:]) for row in told["outcomes"]]
        self.late_us += told["late_us"]
        self.opened += told["opened"]
        self.cpu_s += told["cpu_s"]

    async def end(self) -> None:
        await asyncio.gather(*(part.kill() for part in self.parts))


async def start_crowd(path: str, plan: Plan) -> Crowd:
    crowd = Crowd(plan, [], [], [], [])
    parts = client_parts(plan)
    try:
        for part in range(parts):
            crowd.parts.append(
                await Pipe.open("lilacsill.emulator.sockets.crowd", path, str(plan.seed), str(part), str(parts))
            )
    except BaseException:  # nobody else knows of the processes yet
        await crowd.end()
        raise
    return crowd
