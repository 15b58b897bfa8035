"""An open loop of requests on kept and on new connections, on little CPU of its own.

``python -m benchmarks.request_load`` reads one JSON object of `offer`'s arguments and prints what came of it.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any


@dataclass
class Offered:
    """What was asked and what came of it; a repeat belongs to its first try."""

    asked: int = 0
    tries: int = 0
    served: int = 0
    in_aim: int = 0
    refused: int = 0  # tries
    silent: int = 0  # tries without an answer in their time
    latencies_ms: list[float] = field(default_factory=list)  # of those served, from the first try on
    behind_ms: float = 0.0  # the latest that a request was sent after its time

    def add(self, other: Offered) -> None:
        for name in ("asked", "tries", "served", "in_aim", "refused", "silent"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.latencies_ms += other.latencies_ms
        self.behind_ms = max(self.behind_ms, other.behind_ms)

    def as_json(self) -> dict[str, Any]:
        ordered = sorted(self.latencies_ms) or [0.0]
        figures = {k: v for k, v in asdict(self).items() if k != "latencies_ms"}
        return {
            **figures,
            "behind_ms": round(self.behind_ms, 1),
            "p99_ms": round(ordered[int(0.99 * (len(ordered) - 1))], 2),
        }


@dataclass(slots=True, frozen=True)
class Clients:
    """How they ask. `fresh`: the share that comes on a connection of its own; `retries`: at once, after a refusal."""

    connections: int = 12
    fresh: float = 0.0
    retries: int = 0
    aim_ms: int = 300
    deadline_ms: int = 750


class Caller(asyncio.Protocol):
    """One connection with at most one request on it."""

    def __init__(self, clients: Clients, offered: Offered, idle: list[Caller]) -> None:
        self._clients, self._offered, self._idle = clients, offered, idle
        self.transport: asyncio.Transport | None = None
        self._number, self._began, self._tries, self._kept = "", 0.0, 0, True
        self._limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, number: str, kept: bool) -> None:
        self._number, self._began, self._tries, self._kept = number, time.monotonic(), 0, kept
        self._try()

    def _try(self) -> None:
        assert self.transport is not None
        number = f"{self._number}.{self._tries}"
        self._tries += 1
        self._offered.tries += 1
        self.transport.write(
            (
                f"POST /api?obj={number} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {number}\r\n"
                f"Request-Class: registro-servicio\r\nTenant: norvalle\r\nIdempotency-Key: k{number}\r\n"
                f"Request-Timeout-Ms: {self._clients.deadline_ms}\r\nContent-Length: 4\r\n\r\nbody"
            ).encode()
        )
        self._limit = asyncio.get_running_loop().call_later(self._clients.deadline_ms / 1000, self._gone)

    def _gone(self) -> None:
        assert self.transport is not None
        self._offered.silent += 1
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        # Answers of these stand-ins are small and come in one piece.
        assert self.transport is not None and self._limit is not None
        self._limit.cancel()
        if data.startswith(b"HTTP/1.1 200"):
            took_ms = (time.monotonic() - self._began) * 1000
            self._offered.served += 1
            self._offered.in_aim += took_ms <= self._clients.aim_ms
            self._offered.latencies_ms.append(took_ms)
        elif data.startswith(b"HTTP/1.1 503"):
            self._offered.refused += 1
            if self._tries <= self._clients.retries and b"Connection: close" not in data:
                return self._try()
        if self._kept and b"Connection: close" not in data:
            self._idle.append(self)
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._limit is not None:
            self._limit.cancel()
        if self in self._idle:
            self._idle.remove(self)


async def offer(port: int, rate: float, seconds: float, clients: Clients, seed: int) -> Offered:
    """Poisson arrivals, each on an idle connection or a new one."""
    loop, rng, offered, idle = asyncio.get_running_loop(), Random(seed), Offered(), list[Caller]()

    async def connect() -> Caller:
        _, caller = await loop.create_connection(lambda: Caller(clients, offered, idle), "127.0.0.1", port)
        return caller

    async def on_new(number: str, kept: bool) -> None:
        try:
            async with asyncio.timeout(clients.deadline_ms / 1000):
                caller = await connect()
        except OSError:  # a time-out is one too
            offered.tries += 1
            offered.silent += 1
            return
        caller.ask(number, kept)

    idle += [await connect() for _ in range(clients.connections)]
    tasks: set[asyncio.Task[None]] = set()
    begin = at = time.monotonic()
    while (at := at + rng.expovariate(rate)) < begin + seconds:
        wait = at - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        offered.behind_ms = max(offered.behind_ms, (time.monotonic() - at) * 1000)
        offered.asked += 1
        number = f"{seed:x}.{offered.asked:x}"
        if idle and rng.random() >= clients.fresh:
            idle.pop().ask(number, True)
        else:
            task = asyncio.create_task(on_new(number, not idle))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    await asyncio.sleep((1 + clients.retries) * clients.deadline_ms / 1000)  # what is still out has its time
    for caller in list(idle):
        assert caller.transport is not None
        caller.transport.close()
    return offered


async def offer_from(processes: int, port: int, rate: float, seconds: float, clients: Clients, seed: int) -> Offered:
    """The same from so many processes at once, where one could not keep up."""
    total = Offered()

    async def one(number: int) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.request_load",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        what = {
            "port": port,
            "rate": rate / processes,
            "seconds": seconds,
            "seed": seed * 64 + number,
            "clients": asdict(clients),
        }
        out, _ = await process.communicate(json.dumps(what).encode())
        total.add(Offered(**json.loads(out)))

    await asyncio.gather(*(one(n) for n in range(processes)))
    return total


if __name__ == "__main__":
    told = json.load(sys.stdin)
    told["clients"] = Clients(**told["clients"])
    print(json.dumps(asdict(asyncio.run(offer(**told)))))
