"""The clients of some agents as a process: ``python -m lilacsill.emulator.sockets.crowd SCENARIO SEED PART PARTS``.

Reads one line with the agents' addresses and the time at which the run begins, prints a line of progress each second
and, when the last answer is there, its books as one line.
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
from .clients import SHARE, Clients, Pool, storm
from .finely import run_finely

TELL_US = 1_000_000


async def run(plan: Plan, part: int, parts: int) -> int:
    loop = asyncio.get_running_loop()
    line = sys.stdin.readline()  # nothing else goes on yet
    if not line:
        return 1
    told = json.loads(line)
    t0 = int(told["t0"])

    def now() -> int:
        return int(loop.time() * 1e6) - t0

    most = plan.scenario.load.sockets // SHARE
    pools = [Pool(port, most, now, host) for host, port in told["addresses"]]
    clients = Clients(plan, pools, now, Random(f"{plan.seed} clients {part}"), part, parts)
    said = 0

    def tell(number: int) -> None:
        nonlocal said
        if now() - said > TELL_US:
            said = now()
            print(
                json.dumps({"sent": len(clients.outcomes), "served": sum(o.in_time for o in clients.outcomes)}),
                flush=True,
            )

    mine = told["addresses"][part::parts]
    rates = [max(1, planned.connections_per_s // len(pools)) for planned in plan.storms]
    storms = [
        asyncio.create_task(storm((host, port), planned.start, planned.end, rate, now))
        for host, port in mine
        for planned, rate in zip(plan.storms, rates, strict=True)
    ]
    try:
        await clients.run(tell)
        await asyncio.gather(*storms)
    finally:
        for pool in pools:
            pool.close()
    print(
        json.dumps(
            {
                "books": [msgspec.to_builtins(book) for book in clients.books],
                "outcomes": [[o.number, o.at, o.latency_us, o.status, o.tries, o.in_time] for o in clients.outcomes],
                "late_us": clients.late_us,
                "opened": sum(p.opened for p in pools),
                "cpu_s": time.process_time(),
            }
        ),
        flush=True,
    )
    return 0


if __name__ == "__main__":
    sys.exit(run_finely(run(read(sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), int(sys.argv[4]))))
