"""The clients of some agents as a process.

Run as ``python -m lilacsill.emulator.sockets.client_process SCENARIO SEED PART PARTS``. The process reads one line with
the agents' addresses and the time at which the run begins, prints a line of progress each second and, after the last
answer, its records as one line.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from random import Random

import msgspec

from ..models.plan import Plan
from ..plan_file import read
from .clients import CLIENT_SHARE, Clients, Pool, open_storm
from .precise_timers import run_with_precise_timers

PROGRESS_EVERY_US = 1_000_000


async def run(plan: Plan, part: int, parts: int) -> int:
    """Send the part of the arrivals; return the exit status, 1 where the parent process is gone."""
    loop = asyncio.get_running_loop()
    line = sys.stdin.readline()  # blocks: nothing else runs yet
    if not line:
        return 1
    start = json.loads(line)
    began_us = int(start["t0"])

    def now() -> int:
        return int(loop.time() * 1e6) - began_us

    max_connections = plan.scenario.load.sockets // CLIENT_SHARE
    pools = [Pool(port, max_connections, now, host) for host, port in start["addresses"]]
    clients = Clients(plan, pools, now, Random(f"{plan.seed} clients {part}"), part, parts)
    storms = [
        asyncio.create_task(open_storm((host, port), storm, max(1, storm.connections_per_s // len(pools)), now))
        for host, port in start["addresses"][part::parts]
        for storm in plan.storms
    ]
    printed_at = 0

    def print_progress() -> None:
        nonlocal printed_at
        if now() - printed_at > PROGRESS_EVERY_US:
            printed_at = now()
            served = sum(outcome.in_time for outcome in clients.outcomes)
            print(json.dumps({"sent": len(clients.outcomes), "served": served}), flush=True)

    try:
        await clients.run(print_progress)
        await asyncio.gather(*storms)
    finally:
        for pool in pools:
            pool.close()
    print(json.dumps(_results(clients, pools)), flush=True)
    return 0


def _results(clients: Clients, pools: list[Pool]) -> dict[str, object]:
    return {
        "records": [msgspec.to_builtins(record) for record in clients.records],
        "outcomes": [
            [outcome.number, outcome.at, outcome.latency_us, outcome.status, outcome.tries, outcome.in_time]
            for outcome in clients.outcomes
        ],
        "late_us": clients.late_us,
        "opened": sum(pool.opened for pool in pools),
        "cpu_s": time.process_time(),
    }


if __name__ == "__main__":
    sys.exit(run_with_precise_timers(run(read(sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), int(sys.argv[4]))))
