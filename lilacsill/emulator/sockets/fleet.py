"""Servers and discovery, in one process or several.

Run as ``python -m lilacsill.emulator.sockets.fleet SCENARIO SEED [PART PARTS]``.

Machines go round over the processes; the first one has discovery too. Each prints a line with the ports of its servers
and reads a line with those of all; the first one then prints where discovery is, the others that they are ready. They
read a line with the time at which the run begins, and when the standard input ends each prints its books as one line
and is gone.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from collections import Counter
from functools import partial
from typing import Any

import msgspec

from ..models.faults import LinkFault, partitions_from
from ..models.judge import AttemptRecord, NotificationRecord
from ..models.plan import Plan
from ..plan_file import read
from .catalog import Catalog, Link, host
from .finely import run_finely
from .jobserver import ServerShell
from .listener import Listener, keep_cut
from .memory import SharedMemory

LAG_EVERY_S = 0.02
TOLD_MOST = 3  # times that one and the same trouble is told


Ports = dict[tuple[int, int, int], int]  # by machine, its address, and side of agents


def reserve_ports(plan: Plan, part: int = 0, parts: int = 1) -> Ports:
    """A port for each address of each machine of this part. A machine's address is its own, so that a port stays free
    for it."""
    ports: Ports = {}
    for x in plan.incarnations:
        for side in set(plan.sides or [0]) if x.machine % parts == part else ():
            if (x.machine, x.port, side) not in ports:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind((host(x.machine), 0))
                    ports[x.machine, x.port, side] = s.getsockname()[1]
    return ports


async def order(shells: list[ServerShell], words: list[str]) -> None:
    """`kill N` ends the process on machine N as a crash would, `start N` starts it again, cold."""
    if len(words) != 2 or words[0] not in ("kill", "start"):
        raise ValueError("expected kill N or start N")
    of_machine = [s for s in shells if s.what.machine == int(words[1])]
    shell = of_machine[0]
    if words[0] == "kill":
        shell.stop()
    elif not shell.listening:
        shell.what.cold = True
        await shell.start()


async def hear(reader: asyncio.StreamReader) -> dict[str, Any]:
    """What the one that started this tells next. Raises EOFError once it has gone."""
    line = await reader.readline()
    if not line:
        raise EOFError
    told: dict[str, Any] = json.loads(line)
    return told


async def run(plan: Plan, part: int, parts: int) -> int:
    loop = asyncio.get_running_loop()
    troubles: Counter[str] = Counter()

    def trouble(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        what = str(context.get("message"))
        troubles[what] += 1
        if troubles[what] <= TOLD_MOST:  # a process without descriptors says so at every connect
            print(f"fleet: {context}", file=sys.stderr)

    loop.set_exception_handler(trouble)
    began = [int(loop.time() * 1e6) + 10**15]  # until the run begins all is long before it

    def now() -> int:
        return int(loop.time() * 1e6) - began[0]

    attempts: list[AttemptRecord] = []
    fallen: list[tuple[int, str]] = []
    notifications: list[NotificationRecord] = []
    delays: list[int] = []
    lags: list[int] = []
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    memory = SharedMemory(plan.spec.memory_us, now)
    mine = reserve_ports(plan, part, parts)
    print(json.dumps({"ports": [[*of, port] for of, port in mine.items()], "memory": memory.port}), flush=True)
    told = await hear(reader)
    memory.join(told["memory"])
    ports: Ports = {(machine, port, side): number for machine, port, side, number in told["ports"]}
    sides = sorted(set(plan.sides or [0]))
    shells = [
        ServerShell(
            plan,
            i,
            [(host(x.machine), ports[x.machine, x.port, side]) for side in sides],
            memory,
            now,
            attempts,
            fallen,
            delays,
        )
        for i, x in enumerate(plan.incarnations)
        if x.machine % parts == part
    ]
    for shell in shells:
        if shell.what.start < 0:
            await shell.start()
    catalog = Catalog(plan, ports, now, 0, notifications)
    doors = [
        Listener(partial(Link, catalog, agent), ("127.0.0.1", 0))
        for agent in range(plan.scenario.load.agents if part == 0 else 0)
    ]
    for door in doors:
        await door.open()
    catalog.revision = sum(n.at < 0 for n in plan.notices)
    print(
        json.dumps(
            {
                "discovery": [door.address[1] for door in doors],
                "known": [catalog.listing(None, plan.sides.index(side) if plan.sides else 0) for side in sides],
            }
        ),
        flush=True,
    )
    began[0] = int((await hear(reader))["t0"])
    catalog._unix_ms = int(time.time() * 1000) - now() // 1000

    def cut(x: LinkFault, of: list[Listener]) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(keep_cut(at, x.outbound, x.inbound, (x.start - now()) / 1e6, (x.end - x.start) / 1e6))
            for at in of
        ]

    async def life(shell: ServerShell) -> None:
        if shell.what.start >= 0:
            await asyncio.sleep(max(0.0, (shell.what.start - now()) / 1e6))
            before = [s for s in shells if s is not shell and s.listeners[0].address == shell.listeners[0].address]
            for s in before:
                s.kill()
            await shell.start()
        if shell.what.stop is not None:
            await asyncio.sleep(max(0.0, (shell.what.stop - now()) / 1e6))
            shell.stop()

    async def lag() -> None:
        while True:
            due = loop.time() + LAG_EVERY_S
            await asyncio.sleep(LAG_EVERY_S)
            lags.append(int((loop.time() - due) * 1e6))

    tasks = [asyncio.create_task(life(s)) for s in shells]
    tasks += [asyncio.create_task(c) for c in (catalog.keep_up(), catalog.outages(), lag())]
    for x in partitions_from("servers", plan.link_faults):
        cut_off = {sides.index(plan.side(agent)) for agent in x.agents}
        tasks += cut(x, [at for shell in shells for n, at in enumerate(shell.listeners) if n in cut_off])
    for x in partitions_from("discovery", plan.link_faults) if doors else ():
        tasks += cut(x, [doors[agent] for agent in x.agents])
    while line := await reader.readline():
        try:
            await order(shells, line.decode().split())
        except (ValueError, IndexError) as e:
            print(f"fleet: {line.decode().strip()}: {e}", file=sys.stderr)
    polls = [msgspec.to_builtins(a) for a in catalog.polls]  # with the watches that still wait
    for task in tasks:
        task.cancel()
    for shell in shells:
        shell.close_books()
        shell.kill()
    failed = [t.exception() for t in tasks if t.done() and not t.cancelled() and t.exception() is not None]
    print(
        json.dumps(
            {
                "attempts": [msgspec.to_builtins(a) for a in attempts],
                "notifications": [msgspec.to_builtins(t) for t in notifications],
                "polls": polls,
                "fallen": fallen,
                "delays_us": sorted(delays)[:: max(1, len(delays) // 2000)],
                "lags_us": sorted(lags)[:: max(1, len(lags) // 2000)],
                "cpu_s": time.process_time(),
                "faults": [repr(e) for e in failed],
            }
        ),
        flush=True,
    )
    return 0


def main() -> int:
    part, parts = (int(x) for x in sys.argv[3:5]) if len(sys.argv) > 3 else (0, 1)
    try:
        return run_finely(run(read(sys.argv[1], int(sys.argv[2])), part, parts))
    except EOFError:  # whoever started this is gone
        return 1


if __name__ == "__main__":
    sys.exit(main())
