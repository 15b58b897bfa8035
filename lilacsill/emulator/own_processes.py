"""The emulator's own processes: servers with discovery, and clients; they are controlled over their pipes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil
from typing import Any

import msgspec

from .models.judge import RequestRecord
from .models.plan import Plan
from .processes.pipe import Pipe
from .sockets.clients import Outcome

START_TIMEOUT_S = 30.0
SERVER_PROCESS = "lilacsill.emulator.sockets.server_process"
CLIENT_PROCESS = "lilacsill.emulator.sockets.client_process"
# What one process carries without delay, with some margin; a machine has only so many cores. A request asks two servers
# for their load, and agents open connections to many: 200 at 800 a second are played by three processes with servers.
CLIENT_RATE = 900
"""Requests a second for one process with clients."""
SERVER_RATE = 400
"""Requests a second for one process with servers."""
MAX_CONNECTIONS = 2_500
"""Connections of agents to one process with servers."""
MAX_CLIENT_PROCESSES, MAX_SERVER_PROCESSES = 3, 4


class RunError(Exception):
    """The run could not be played; the message says why."""


def client_process_count(plan: Plan) -> int:
    """Return how many processes the clients of a plan need."""
    return min(MAX_CLIENT_PROCESSES, plan.scenario.load.agents, ceil(_peak_rate(plan) / CLIENT_RATE))


def server_process_count(plan: Plan) -> int:
    """Return how many processes the servers of a plan need."""
    agents, servers = plan.scenario.load.agents, plan.scenario.fleet.servers
    wanted = max(ceil(_peak_rate(plan) / SERVER_RATE), ceil(agents * servers / MAX_CONNECTIONS))
    return min(MAX_SERVER_PROCESSES, servers, wanted)


def _peak_rate(plan: Plan) -> float:
    return max(1.0, plan.scenario.load.rate * (1 + plan.scenario.load.swing))


@dataclass
class ServerProcesses:
    """The processes with servers; the first one also runs discovery."""

    plan: Plan
    pipes: list[Pipe] = field(default_factory=list)
    discovery: list[int] = field(default_factory=list)
    """The port of discovery for each agent."""
    known_by_side: list[dict[str, Any]] = field(default_factory=list)

    def known(self, agent: int) -> dict[str, Any]:
        """Return the list of servers that an agent starts with."""
        sides = sorted(set(self.plan.sides)) or [0]
        return self.known_by_side[sides.index(self.plan.side(agent))]

    def begin(self, began_us: int) -> None:
        """Begin the run at a time of the event loop's clock."""
        for pipe in self.pipes:
            pipe.send({"t0": began_us})

    def order(self, line: bytes) -> None:
        """Pass on an order (`server_process.execute_order`)."""
        stdin = self.pipes[0].process.stdin
        assert stdin is not None
        stdin.write(line)

    async def records(self) -> dict[str, Any]:
        """End all processes and return their records together.

        Raises:
            PipeError: A process has failed.
        """
        together: dict[str, Any] = {}
        for pipe in self.pipes:
            pipe.close()
        for pipe in self.pipes:
            for key, value in (await pipe.expect()).items():
                together[key] = together[key] + value if key in together else value
            await pipe.process.wait()
        together["delays_us"].sort()
        together["lags_us"].sort()
        return together

    async def end(self) -> None:
        """Kill what still runs."""
        await asyncio.gather(*(pipe.kill() for pipe in self.pipes))


async def start_servers(path: str, plan: Plan, count: int = 1) -> ServerProcesses:
    """Start the servers of a plan and discovery.

    Args:
        path: The scenario or plan that the processes read.
        plan: The same, as it was read here.
        count: The number of processes.

    Raises:
        RunError: They were not ready in time.
        PipeError: A process has failed.
    """
    servers = ServerProcesses(plan)
    pipes = servers.pipes
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            for number in range(count):
                pipes.append(await Pipe.open(SERVER_PROCESS, path, str(plan.seed), str(number), str(count)))
            reserved = [await pipe.expect() for pipe in pipes]
            everything = {
                "ports": [row for message in reserved for row in message["ports"]],
                "memory": [message["memory"] for message in reserved],
            }
            for pipe in pipes:
                pipe.send(everything)
            ready = [await pipe.expect() for pipe in pipes]
    except TimeoutError:
        await servers.end()
        raise RunError(f"the emulated fleet was not ready within {START_TIMEOUT_S:.0f} s") from None
    except BaseException:  # nobody else can end the processes yet
        await servers.end()
        raise
    servers.discovery, servers.known_by_side = ready[0]["discovery"], ready[0]["known"]
    return servers


@dataclass
class ClientProcesses:
    """The processes with clients, and what they reported."""

    plan: Plan
    pipes: list[Pipe] = field(default_factory=list)
    records: list[RequestRecord] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    """In the order of the plan's arrivals."""
    late_us: list[int] = field(default_factory=list)
    """How far each arrival was behind its schedule."""
    opened: int = 0
    """Connections."""
    cpu_s: float = 0.0

    def begin(self, addresses: list[tuple[str, int]], began_us: int) -> None:
        """Begin the run at a time of the event loop's clock, with the agents at these addresses."""
        for pipe in self.pipes:
            pipe.send({"addresses": addresses, "t0": began_us})

    async def run(self, progress: Callable[[int, int], None]) -> None:
        """Wait for the last answer.

        Args:
            progress: Gets how many requests were sent, and served in time, now and then.

        Raises:
            PipeError: A process has failed.
        """
        counts = [(0, 0)] * len(self.pipes)

        async def follow(number: int, pipe: Pipe) -> None:
            while "records" not in (message := await pipe.expect()):
                counts[number] = message["sent"], message["served"]
                if number == 0:
                    progress(sum(sent for sent, _ in counts), sum(served for _, served in counts))
            self._add(message)

        await asyncio.gather(*(follow(number, pipe) for number, pipe in enumerate(self.pipes)))
        self.outcomes.sort(key=lambda outcome: outcome.number)

    def _add(self, message: dict[str, Any]) -> None:
        self.records += msgspec.convert(message["records"], list[RequestRecord])
        self.outcomes += [Outcome(row[0], self.plan.arrivals[row[0]], *row[1:]) for row in message["outcomes"]]
        self.late_us += message["late_us"]
        self.opened += message["opened"]
        self.cpu_s += message["cpu_s"]

    async def end(self) -> None:
        """Kill what still runs."""
        await asyncio.gather(*(pipe.kill() for pipe in self.pipes))


async def start_clients(path: str, plan: Plan) -> ClientProcesses:
    """Start the clients of a plan.

    Args:
        path: The scenario or plan that the processes read.
        plan: The same, as it was read here.
    """
    clients = ClientProcesses(plan)
    count = client_process_count(plan)
    try:
        for number in range(count):
            clients.pipes.append(await Pipe.open(CLIENT_PROCESS, path, str(plan.seed), str(number), str(count)))
    except BaseException:  # nobody else can end the processes yet
        await clients.end()
        raise
    return clients
