"""Servers and discovery, in one process or several.

Run as ``python -m lilacsill.emulator.sockets.server_process SCENARIO SEED [PART PARTS]``.

The machines are distributed over the processes; the first one also runs discovery. Each process prints a line with the
ports of its servers and reads a line with those of all. The first one then prints the ports of discovery, the others
that they are ready. They read a line with the time at which the run begins. When the standard input ends, each prints
its records as one line and exits.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from ..models.faults import LinkFault, partitions_from
from ..models.judge import AttemptRecord, NotificationRecord
from ..models.plan import Plan
from ..plan_file import read
from .catalog import Address, Catalog, CatalogConnection, host
from .jobserver import EmulatedServer
from .key_memory import SharedKeyMemory
from .listener import Listener, partition_for
from .precise_timers import run_with_precise_timers

LAG_EVERY_S = 0.02
"""How often the lag of the event loop is measured."""
MAX_REPORTS = 3
"""The same error is printed so many times; a process without descriptors repeats it at every connect."""
MAX_SAMPLES = 2000
"""Delays and lags are thinned to about so many for the parent process."""
BEFORE_RUN_US = 10**15
"""Until the run begins, the clock is this long before it."""
INPUT_LIMIT_BYTES = 1 << 24

Ports = dict[Address, int]


@dataclass(slots=True)
class _Measurements:
    """What this process records for its parent."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    fallen: list[tuple[int, str]] = field(default_factory=list)
    notifications: list[NotificationRecord] = field(default_factory=list)
    delays_us: list[int] = field(default_factory=list)
    lags_us: list[int] = field(default_factory=list)


class _RunClock:
    """The time in microseconds since the run began; long before it until `begin`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._began_us = int(loop.time() * 1e6) + BEFORE_RUN_US

    def __call__(self) -> int:
        return int(self._loop.time() * 1e6) - self._began_us

    def begin(self, began_us: int) -> None:
        """Set the time of the event loop at which the run begins."""
        self._began_us = began_us


def reserve_ports(plan: Plan, part: int = 0, parts: int = 1) -> Ports:
    """Choose a free port for each address of the machines of this part.

    The IP address of a machine is its own, so that nobody else takes the port.
    """
    ports: Ports = {}
    for incarnation in plan.incarnations:
        if incarnation.machine % parts != part:
            continue
        for side in set(plan.sides or [0]):
            address = (incarnation.machine, incarnation.port, side)
            if address not in ports:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host(incarnation.machine), 0))
                    ports[address] = probe.getsockname()[1]
    return ports


async def execute_order(servers: list[EmulatedServer], arguments: list[str]) -> None:
    """Execute `kill N`, which ends the process on machine N like a crash, or `start N`, which starts it again, cold.

    Raises:
        ValueError: It is none of these.
        IndexError: There is no such machine.
    """
    if len(arguments) != 2 or arguments[0] not in ("kill", "start"):
        raise ValueError("expected kill N or start N")
    server = [server for server in servers if server.incarnation.machine == int(arguments[1])][0]
    if arguments[0] == "kill":
        server.stop()
    elif not server.listening:
        server.incarnation.cold = True
        await server.start()


async def receive(reader: asyncio.StreamReader) -> dict[str, Any]:
    """Read the next message of the parent process.

    Raises:
        EOFError: The parent process is gone.
    """
    line = await reader.readline()
    if not line:
        raise EOFError
    message: dict[str, Any] = json.loads(line)
    return message


def _report_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Print errors that nobody handles, each kind only a few times."""
    reports: Counter[str] = Counter()

    def report(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        message = str(context.get("message"))
        reports[message] += 1
        if reports[message] <= MAX_REPORTS:
            print(f"fleet: {context}", file=sys.stderr)

    loop.set_exception_handler(report)


class _ServerProcess:
    """The servers of one part, and discovery in the first one."""

    def __init__(self, plan: Plan, part: int, parts: int, clock: _RunClock, memory: SharedKeyMemory) -> None:
        self._plan, self._part, self._parts = plan, part, parts
        self._now, self._memory = clock, memory
        self._sides = sorted(set(plan.sides or [0]))
        self._measurements = _Measurements()
        self._discovery: list[Listener] = []
        self.servers: list[EmulatedServer] = []
        self.catalog: Catalog | None = None

    async def open(self, ports: Ports) -> dict[str, Any]:
        """Start the servers that run from the beginning, and discovery; return the message for the parent."""
        plan, measurements = self._plan, self._measurements
        for index, incarnation in enumerate(plan.incarnations):
            if incarnation.machine % self._parts != self._part:
                continue
            addresses = [
                (host(incarnation.machine), ports[incarnation.machine, incarnation.port, side]) for side in self._sides
            ]
            self.servers.append(
                EmulatedServer(
                    plan,
                    index,
                    addresses,
                    self._memory,
                    self._now,
                    measurements.attempts,
                    measurements.fallen,
                    measurements.delays_us,
                )
            )
        for server in self.servers:
            if server.incarnation.start < 0:
                await server.start()
        catalog = self.catalog = Catalog(plan, ports, self._now, 0, measurements.notifications)
        for agent in range(plan.scenario.load.agents if self._part == 0 else 0):
            self._discovery.append(Listener(partial(CatalogConnection, catalog, agent), ("127.0.0.1", 0)))
        for listener in self._discovery:
            await listener.open()
        catalog.revision = sum(notice.at < 0 for notice in plan.notices)
        agents = [plan.sides.index(side) if plan.sides else 0 for side in self._sides]
        return {
            "discovery": [listener.address[1] for listener in self._discovery],
            "known": [catalog.listing(None, agent) for agent in agents],
        }

    def begin(self) -> list[asyncio.Task[None]]:
        """Start the tasks of the run."""
        assert self.catalog is not None
        self.catalog.began_unix_ms = int(time.time() * 1000) - self._now() // 1000
        work: list[Coroutine[Any, Any, None]] = [self._run_incarnation(server) for server in self.servers]
        work += [self.catalog.notify_watches(), self.catalog.reset_at_outages(), self._measure_lag()]
        for fault in partitions_from("servers", self._plan.link_faults):
            sides = {self._sides.index(self._plan.side(agent)) for agent in fault.agents}
            work += [
                self._run_partition(fault, listener)
                for server in self.servers
                for side, listener in enumerate(server.listeners)
                if side in sides
            ]
        if self._discovery:
            for fault in partitions_from("discovery", self._plan.link_faults):
                work += [self._run_partition(fault, self._discovery[agent]) for agent in fault.agents]
        return [asyncio.create_task(coroutine) for coroutine in work]

    def _run_partition(self, fault: LinkFault, listener: Listener) -> Coroutine[Any, Any, None]:
        delay_s = (fault.start - self._now()) / 1e6
        return partition_for(listener, fault.outbound, fault.inbound, delay_s, (fault.end - fault.start) / 1e6)

    async def _run_incarnation(self, server: EmulatedServer) -> None:
        incarnation = server.incarnation
        if incarnation.start >= 0:
            await self._sleep_until(incarnation.start)
            address = server.listeners[0].address
            for other in self.servers:
                if other is not server and other.listeners[0].address == address:
                    other.kill()
            await server.start()
        if incarnation.stop is not None:
            await self._sleep_until(incarnation.stop)
            server.stop()

    async def _sleep_until(self, at: int) -> None:
        await asyncio.sleep(max(0.0, (at - self._now()) / 1e6))

    async def _measure_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_EVERY_S
            await asyncio.sleep(LAG_EVERY_S)
            self._measurements.lags_us.append(int((loop.time() - due) * 1e6))

    def finish(self, tasks: list[asyncio.Task[None]]) -> dict[str, Any]:
        """End everything and return the records for the parent."""
        assert self.catalog is not None
        polls = _builtins(self.catalog.polls)  # with the watches that still wait
        for task in tasks:
            task.cancel()
        for server in self.servers:
            server.finish_records()
            server.kill()
        ended = [task for task in tasks if task.done() and not task.cancelled()]
        errors = [error for task in ended if (error := task.exception()) is not None]
        measurements = self._measurements
        return {
            "attempts": _builtins(measurements.attempts),
            "notifications": _builtins(measurements.notifications),
            "polls": polls,
            "fallen": measurements.fallen,
            "delays_us": _thin(measurements.delays_us),
            "lags_us": _thin(measurements.lags_us),
            "cpu_s": time.process_time(),
            "faults": [repr(error) for error in errors],
        }


def _builtins(records: list[Any]) -> list[Any]:
    return [msgspec.to_builtins(record) for record in records]


def _thin(values: list[int]) -> list[int]:
    return sorted(values)[:: max(1, len(values) // MAX_SAMPLES)]


async def run(plan: Plan, part: int, parts: int) -> int:
    """Run one part until the standard input ends; return the exit status."""
    loop = asyncio.get_running_loop()
    _report_errors(loop)
    clock = _RunClock(loop)
    reader = asyncio.StreamReader(limit=INPUT_LIMIT_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    memory = SharedKeyMemory(plan.spec.memory_us, clock)
    reserved = reserve_ports(plan, part, parts)
    _send({"ports": [[*address, port] for address, port in reserved.items()], "memory": memory.port})
    message = await receive(reader)
    memory.join(message["memory"])
    process = _ServerProcess(plan, part, parts, clock, memory)
    _send(await process.open({(machine, port, side): number for machine, port, side, number in message["ports"]}))
    clock.begin(int((await receive(reader))["t0"]))
    tasks = process.begin()
    while line := await reader.readline():
        try:
            await execute_order(process.servers, line.decode().split())
        except (ValueError, IndexError) as error:
            print(f"fleet: {line.decode().strip()}: {error}", file=sys.stderr)
    _send(process.finish(tasks))
    return 0


def _send(message: dict[str, Any]) -> None:
    print(json.dumps(message), flush=True)


def main() -> int:
    """Run the process by its arguments; return the exit status."""
    part, parts = (int(argument) for argument in sys.argv[3:5]) if len(sys.argv) > 3 else (0, 1)
    try:
        return run_with_precise_timers(run(read(sys.argv[1], int(sys.argv[2])), part, parts))
    except EOFError:  # the parent process is gone
        return 1


if __name__ == "__main__":
    sys.exit(main())
