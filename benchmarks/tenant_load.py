"""Clients of one or more tenants as a process: an open loop at a rate, or as many at once as asked.

Reads one line of JSON with what to do, prints `ready`, reads the time at which to begin, and prints what came of it.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lilacsill.emulator.sockets.clients import Pool
from lilacsill.emulator.sockets.precise_timers import run_with_precise_timers

AIM_S, DEADLINE_S = 0.3, 0.75
BEHIND_S = 0.02  # a generator that is behind by more at its 99th percentile has not offered the load


@dataclass
class Counts:
    """Of one tenant."""

    asked: int = 0
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0
    silent: int = 0  # neither an answer nor a close in time
    statuses: dict[int, int] = field(default_factory=dict)
    latencies_ms: list[float] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        ordered = sorted(self.latencies_ms)

        def at(share: float) -> float:
            return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2) if ordered else 0.0

        return {
            "asked": self.asked,
            "served": self.served,
            "in_aim": self.in_aim,
            "refused": self.refused,
            "failed": self.failed,
            "silent": self.silent,
            "statuses": self.statuses,
            "p50_ms": at(0.5),
            "p99_ms": at(0.99),
        }


class Load:
    """One tenant's clients."""

    def __init__(self, what: dict[str, Any], port: int, seed: int) -> None:
        self.name, self._secret, self._body = what["name"], what["secret"], b"x" * what.get("body", 0)
        self._rate, self._at_once = what.get("rate", 0.0), what.get("at_once", 0)
        self._first, self._rng = what.get("first", 0), Random(f"{seed} {self.name}")
        self._pool = Pool(port, what.get("connections", 400), lambda: time.monotonic_ns() // 1000)
        self.counts, self.behind_s = Counts(), [0.0]
        self._number = 0

    async def run(self, begin: float, seconds: float) -> None:
        if self._rate:
            tasks: set[asyncio.Task[None]] = set()
            at = begin
            while (at := at + self._rng.expovariate(self._rate)) < begin + seconds:
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                self.behind_s.append(time.monotonic() - at)
                task = asyncio.create_task(self._ask())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            if tasks:
                await asyncio.wait(tasks)
        else:
            await asyncio.gather(*(self._again(begin + seconds) for _ in range(self._at_once)))
        self._pool.close()

    async def _again(self, until: float) -> None:
        while time.monotonic() < until:
            before = self.counts.silent
            await self._ask()
            if self.counts.silent > before:
                await asyncio.sleep(0.01)  # nobody listened

    async def _ask(self) -> None:
        self._number += 1
        mine = self._number
        counts = self.counts
        counts.asked += 1
        began = time.monotonic()
        c = await self._pool.acquire()
        if c is None or c.transport is None:
            counts.silent += 1
            return
        number = f"0.{self._first + mine}.0"
        head = (
            f"POST /api?obj={mine:x} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"Authorization: Bearer {self._secret}\r\nRequest-Id: {number}\r\n"
            f"Request-Class: registro-servicio\r\nIdempotency-Key: k{number}\r\n"
            f"Request-Timeout-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(self._body)}\r\n\r\n"
        )
        c.response = asyncio.get_running_loop().create_future()
        c.transport.write(head.encode() + self._body)
        try:
            async with asyncio.timeout(DEADLINE_S + 0.25):
                status = (await c.response).status
        except TimeoutError:
            c.close()
            counts.silent += 1
            return
        took = time.monotonic() - began
        counts.statuses[status] = counts.statuses.get(status, 0) + 1
        if status == 200:
            counts.served += 1
            counts.in_aim += took <= AIM_S
            counts.latencies_ms.append(took * 1000)
        elif status in (429, 503):
            counts.refused += 1
        elif status:
            counts.failed += 1
        else:
            counts.silent += 1
        if status:
            self._pool.release(c)


async def run(what: dict[str, Any]) -> dict[str, Any]:
    loads = [Load(t, what["port"], what["seed"]) for t in what["tenants"]]
    print("ready", flush=True)
    begin = float(await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline))
    await asyncio.gather(*(x.run(begin, what["seconds"]) for x in loads))
    behind = sorted(b for x in loads for b in x.behind_s)
    return {
        "tenants": {x.name: x.counts.as_json() for x in loads},
        "behind_ms": round(1000 * behind[int(0.99 * (len(behind) - 1))], 2),
    }


def main() -> int:
    print(json.dumps(run_with_precise_timers(run(json.loads(sys.stdin.readline())))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
