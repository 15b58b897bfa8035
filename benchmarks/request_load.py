"""An open loop of requests on kept and on new connections, on little CPU of its own."""
from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

DEADLINE_S = 0.75


@dataclass
class Offered:
    """What was asked and what came of it."""

    asked: int = 0
    served: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    behind_ms: float = 0.0  # the latest that a request was sent after its time

    def as_json(self) -> dict[str, Any]:
        ordered = sorted(self.latencies_ms) or [0.0]
        return {"asked": self.asked, "served": self.served, "behind_ms": round(self.behind_ms, 1),
                "p99_ms": round(ordered[int(0.99 * (len(ordered) - 1))], 2)}


class Caller(asyncio.Protocol):
    """One connection with at most one request on it."""

    def __init__(self, offered: Offered, idle: list[Caller]) -> None:
        self._offered, self._idle = offered, idle
        self.transport: asyncio.Transport | None = None
        self._sent = 0.0
        self._kept = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, number: str, kept: bool) -> None:
        assert self.transport is not None
        self._sent, self._kept = time.monotonic(), kept
        self.transport.write((
            f"POST /api?obj={number} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {number}\r\n"
            f"Request-Class: registro-servicio\r\nTenant: norvalle\r\nIdempotency-Key: k{number}\r\n"
            f"Request-Timeout-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: 4\r\n\r\nbody").encode())

    def data_received(self, data: bytes) -> None:
        # Answers of these stand-ins are small and come in one piece.
        if data.startswith(b"HTTP/1.1 200"):
            self._offered.served += 1
            self._offered.latencies_ms.append((time.monotonic() - self._sent) * 1000)
        assert self.transport is not None
        if self._kept:
            self._idle.append(self)
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._idle:
            self._idle.remove(self)


async def offer(port: int, rate: float, seconds: float, connections: int, fresh: float, seed: int) -> Offered:
    """Poisson arrivals; so large a share of them on new connections."""
    loop, rng, offered, idle = asyncio.get_running_loop(), Random(seed), Offered(), list[Caller]()

    async def connect() -> Caller:
        _, caller = await loop.create_connection(lambda: Caller(offered, idle), "127.0.0.1", port)
        return caller

    async def on_new(number: str, kept: bool) -> None:
        (await connect()).ask(number, kept)

    idle += [await connect() for _ in range(connections)]
    tasks: set[asyncio.Task[None]] = set()
    begin = at = time.monotonic()
    while (at := at + rng.expovariate(rate)) < begin + seconds:
        wait = at - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        offered.behind_ms = max(offered.behind_ms, (time.monotonic() - at) * 1000)
        offered.asked += 1
        number = f"{seed:x}.{offered.asked:x}"
        if idle and rng.random() >= fresh:
            idle.pop().ask(number, True)
        else:
            task = asyncio.create_task(on_new(number, not idle))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    await asyncio.sleep(DEADLINE_S)  # what is still out has its time
    for caller in list(idle):
        assert caller.transport is not None
        caller.transport.close()
    return offered
