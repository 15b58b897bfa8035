"""The fleet and its discovery as one process: ``python -m emulator.sockets.fleet SCENARIO SEED``.

Prints one line with its ports, reads one line with the time at which the run begins, and when its standard input
ends prints its books as one line and is gone.
"""
from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from dataclasses import asdict

from ..models.judge import AttemptBook, TellingBook
from ..models.plan import Plan
from ..models.server import RepeatMemory
from ..plan_file import read
from .catalog import Catalog, Link, host
from .finely import run_finely
from .jobserver import ServerShell

LAG_EVERY_S = 0.02


def reserve_ports(plan: Plan) -> dict[tuple[int, int], int]:
    """A port for each address of each machine. A machine's address is its own, so that a port stays free for it."""
    ports: dict[tuple[int, int], int] = {}
    for x in plan.incarnations:
        if (x.machine, x.port) not in ports:
            with socket.socket() as s:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                s.bind((host(x.machine), 0))
                ports[x.machine, x.port] = s.getsockname()[1]
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


async def run(plan: Plan) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: print(f"fleet: {context}", file=sys.stderr))
    began = [int(loop.time() * 1e6) + 10**15]  # until the run begins all is long before it

    def now() -> int:
        return int(loop.time() * 1e6) - began[0]

    attempts: list[AttemptBook] = []
    fallen: list[tuple[int, str]] = []
    tellings: list[TellingBook] = []
    delays: list[int] = []
    lags: list[int] = []
    ports = reserve_ports(plan)
    memory = RepeatMemory(plan.spec.memory_us)
    shells = [ServerShell(plan, i, (host(x.machine), ports[x.machine, x.port]), memory, now, attempts, fallen, delays)
              for i, x in enumerate(plan.incarnations)]
    catalog = Catalog(plan, ports, now, 0, tellings)
    listeners = [await loop.create_server(lambda a=agent: Link(catalog, a), "127.0.0.1", 0)  # type: ignore[misc]
                 for agent in range(plan.scenario.load.agents)]
    for shell in shells:
        if shell.what.start < 0:
            await shell.start()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    catalog.revision = sum(n.at < 0 for n in plan.notices)
    print(json.dumps({"discovery": [int(s.sockets[0].getsockname()[1]) for s in listeners],
                      "known": catalog.listing(None)}), flush=True)
    line = await reader.readline()
    if not line:
        return 1
    began[0] = int(json.loads(line)["t0"])
    catalog._unix_ms = int(time.time() * 1000) - now() // 1000

    async def life(shell: ServerShell) -> None:
        if shell.what.start >= 0:
            await asyncio.sleep(max(0.0, (shell.what.start - now()) / 1e6))
            before = [s for s in shells if s is not shell and s._address == shell._address]
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
    while line := await reader.readline():
        try:
            await order(shells, line.decode().split())
        except (ValueError, IndexError) as e:
            print(f"fleet: {line.decode().strip()}: {e}", file=sys.stderr)
    asks = [asdict(a) for a in catalog.asks]  # with the watches that still wait
    for task in tasks:
        task.cancel()
    for shell in shells:
        shell.close_books()
        shell.kill()
    failed = [t.exception() for t in tasks if t.done() and not t.cancelled() and t.exception() is not None]
    print(json.dumps({"attempts": [asdict(a) for a in attempts], "tellings": [asdict(t) for t in tellings],
                      "asks": asks, "fallen": fallen, "delays_us": sorted(delays)[::max(1, len(delays) // 2000)],
                      "lags_us": sorted(lags)[::max(1, len(lags) // 2000)], "cpu_s": time.process_time(),
                      "faults": [repr(e) for e in failed]}), flush=True)
    return 0


def main() -> int:
    return run_finely(run(read(sys.argv[1], int(sys.argv[2]))))


if __name__ == "__main__":
    sys.exit(main())
