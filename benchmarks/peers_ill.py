"""How soon all agents leave a backend that begins to answer errors, with peers and without, at thin traffic."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from lilacsill.emulator.processes.rig import AgentProcess, Rig, rig

from .storming import request

BACKENDS = 8
SERVE_S = 0.02
EACH_S = 0.1  # one request of each agent's clients so often
LOOK_S = 0.05
Row = dict[str, Any]


class Backend:
    """Answers after a while; ill, with status 500."""

    def __init__(self) -> None:
        self.ill = False

    async def start(self) -> Backend:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = next((int(x[15:]) for x in head.split("\r\n") if x.startswith("content-length:")), 0)
                await reader.readexactly(length)
                await asyncio.sleep(SERVE_S)
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok" % (b"500 ill" if self.ill else b"200 OK"))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()


@asynccontextmanager
async def world() -> AsyncIterator[tuple[list[Backend], int]]:
    """Backends, and a discovery that accepts and says nothing: what agents know at their start holds."""
    backends = [await Backend().start() for _ in range(BACKENDS)]
    silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    try:
        yield backends, int(silent.sockets[0].getsockname()[1])
    finally:
        silent.close()
        for b in backends:
            b.stop()


async def client(child: AgentProcess) -> None:
    """One request at a time, on one connection, at an even rate."""
    reader, writer = await asyncio.open_connection("127.0.0.1", child.port)
    try:
        while True:
            began = time.monotonic()
            name = f"{child.number}.{time.monotonic_ns()}"
            writer.write(request(name).replace(b"obj=7f", f"obj={name}".encode()))
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            await reader.readexactly(next(int(x[15:]) for x in head.split("\r\n") if x.startswith("content-length:")))
            await asyncio.sleep(max(0.0, began + EACH_S - time.monotonic()))
    finally:
        writer.close()


async def left(r: Rig, child: AgentProcess, on: bool, began: float, most_s: float) -> float:
    """When that agent sent nothing more to it, but for trials: by its own finding or by others'."""
    while time.monotonic() - began < most_s:
        if any("server s0 excluded" in line for line in child.lines):
            break
        if on and any(j["backend"] == "s0" and j["excluded"] for j in (await r.peers(child.number))["judgements"]):
            break
        await asyncio.sleep(LOOK_S)
    return time.monotonic() - began


async def run(
    agents: int, on: bool, config: Callable[[Row, int, bool], Callable[[int], Row]], operator: str, most_s: float
) -> float:
    """Seconds until the last agent has left it."""
    with tempfile.TemporaryDirectory() as folder:
        async with world() as (backends, discovery):
            members = [
                {
                    "id": f"s{i}",
                    "host_port": f"127.0.0.1:{b.port}",
                    "locality": "a",
                    "flavor": "m",
                    "cell": 0,
                    "phase": "SERVING",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
                for i, b in enumerate(backends)
            ]
            made = config({"discovery": discovery, "backends": []}, agents, on)

            def of(number: int) -> Row:
                return {**made(number), "known": {"revision": 1, "complete": True, "members": members}}

            file = operator if on else operator.replace("enabled = true", "enabled = false")
            async with rig(agents, Path(folder), of, file) as r:
                children = [r.begin(n) for n in range(agents)]
                for c in children:
                    await r.wait_ready(c)
                traffic = [asyncio.create_task(client(c)) for c in children]
                await asyncio.sleep(2.0)  # entries and latencies are known
                backends[0].ill, began = True, time.monotonic()
                times = await asyncio.gather(*(left(r, c, on, began, most_s) for c in children))
                for t in traffic:
                    t.cancel()
                await asyncio.gather(*traffic, return_exceptions=True)
                return max(times)


async def ratio(
    agents: int, rounds: int, config: Callable[[Row, int, bool], Callable[[int], Row]], operator: str, most_s: float
) -> Row:
    """With and without at the same time, several fleets of each; the ratio of the sums."""
    times = await asyncio.gather(
        *(run(agents, on, config, operator, most_s) for _ in range(rounds) for on in (True, False))
    )
    pairs = list(zip(times[::2], times[1::2], strict=True))
    with_, without = sum(a for a, _ in pairs), sum(b for _, b in pairs)
    return {"ill_left_s": with_ / rounds, "ill_control_s": without / rounds, "ill_left": with_ / without}
