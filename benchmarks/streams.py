"""Bodies larger than memory: what streams hold, what they cost small requests, and what small requests cost now.

    python -m benchmarks.streams                      about three minutes
    python -m benchmarks.streams --quick              under a minute
    python -m benchmarks.streams --control 3d4ca24    the commit whose small requests are the control

Long answers go to readers that stand still for a while and then read all; the agent has 80 MB. Tables, one JSON line
last. Status 0 if memory stays flat beyond the budget, a small request costs at most COSTS times the control's, and the
p99 of small requests beside streams is at most BESIDE times calm; 1 if not; 2 if the control cannot be read.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

from .full_core import parsed, unpacked
from .processes import AgentProcess, agent, backends
from .request_load import Clients, offer

CONTROL = "3d4ca24"  # the last commit that held every body whole
MB = 2**20
MEMORY_MB, SERVERS = 80, 6
# Streams at once, and the size of each in MB.
LOADS: tuple[tuple[int, int], ...] = ((1, 1), (8, 1), (8, 32), (32, 8), (32, 32), (128, 8), (128, 32))
QUICK: tuple[tuple[int, int], ...] = ((1, 1), (8, 8), (32, 8), (64, 16))
FLAT_MB = 8.0  # what memory may differ by between loads that all exceed the budget
BUDGET_MB = MEMORY_MB / 4
COSTS, BESIDE = 1.05, 4.0
STANDING_S = 1.0
RATE = 400.0


async def long_answer(port: int, number: int, size: int, standing_s: float) -> int:
    """Returns the bytes that came."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=64 * 1024)
    writer.write(
        f"POST /api?obj={number}&bytes={size} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: long{number}\r\n"
        f"Request-Class: registro-servicio\r\nTenant: norvalle\r\nIdempotency-Key: k{number}\r\n"
        "Request-Timeout-Ms: 30000\r\nContent-Length: 4\r\n\r\nbody".encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(standing_s)
    came = 0
    while head.startswith(b"HTTP/1.1 200") and came < size:
        piece = await reader.read(MB)
        if not piece:
            break
        came += len(piece)
    writer.close()
    return came


async def memory(loads: tuple[tuple[int, int], ...]) -> list[dict[str, Any]]:
    rows = []
    for streams, size_mb in loads:
        with tempfile.TemporaryDirectory() as folder:
            async with backends(SERVERS, 2.0) as ports, agent(Path(folder), ports, 1024, memory_mb=MEMORY_MB) as target:
                rows.append(await _memory(target, streams, size_mb))
    return rows


async def _memory(target: AgentProcess, streams: int, size_mb: int) -> dict[str, Any]:
    before = peak = target.rss_mb()
    reading = [asyncio.create_task(long_answer(target.port, n, size_mb * MB, STANDING_S)) for n in range(streams)]
    while not all(r.done() for r in reading):
        peak = max(peak, target.rss_mb())
        await asyncio.sleep(0.01)
    whole = sum(r.result() == size_mb * MB for r in reading)
    return {
        "streams": streams,
        "size_mb": size_mb,
        "whole": whole,
        "before_mb": round(before, 1),
        "peak_mb": round(peak, 1),
    }


async def small(seconds: float, rounds: int, trees: dict[str, Path | None]) -> dict[str, list[float]]:
    """CPU of a small request in microseconds, the builds in turn."""
    costs: dict[str, list[float]] = {build: [] for build in trees}
    for turn in range(rounds):
        for build, tree in trees.items():
            with tempfile.TemporaryDirectory() as folder:
                async with backends(SERVERS, 2.0) as ports, agent(Path(folder), ports, 1024, tree=tree) as target:
                    clients = Clients(connections=12)
                    await offer(target.port, RATE, 0.7, clients, seed=1)
                    before = target.cpu_us()
                    offered = await offer(target.port, RATE, seconds, clients, seed=2 + turn)
                    costs[build].append((target.cpu_us() - before) / offered.asked)
    return costs


async def beside(seconds: float) -> tuple[float, float]:
    """p99 in ms of small requests in calm, and beside streams of 8 MB to readers that stand still in between."""
    with tempfile.TemporaryDirectory() as folder:
        async with backends(SERVERS, 2.0) as ports, agent(Path(folder), ports, 1024, memory_mb=MEMORY_MB) as target:
            clients = Clients(connections=12)
            await offer(target.port, RATE / 4, 1.0, clients, seed=1)
            calm = await offer(target.port, RATE / 4, seconds, clients, seed=2)
            over = asyncio.Event()

            async def stream(number: int) -> None:
                while not over.is_set():
                    await long_answer(target.port, number, 8 * MB, 0.3)
                    number += 100

            streaming = [asyncio.create_task(stream(n)) for n in range(16)]
            busy = await offer(target.port, RATE / 4, seconds, clients, seed=3)
            over.set()
            await asyncio.gather(*streaming)
    return float(calm.as_json()["p99_ms"]), float(busy.as_json()["p99_ms"])


def main() -> int:
    a = parsed(__doc__, "fewer and smaller streams, shorter rounds", CONTROL)
    with tempfile.TemporaryDirectory() as folder:
        control = unpacked(a.control, folder)
        rows = asyncio.run(memory(QUICK if a.quick else LOADS))
        costs = asyncio.run(small(1.5 if a.quick else 4.0, 3 if a.quick else 7, {"this": None, a.control: control}))
    calm, busy = asyncio.run(beside(3.0 if a.quick else 10.0))
    ratio = statistics.median(costs["this"]) / statistics.median(costs[a.control])

    missed = [
        f"{r['whole']} of {r['streams']} streams of {r['size_mb']} MB came whole"
        for r in rows
        if r["whole"] < r["streams"]
    ]
    beyond = [r["peak_mb"] for r in rows if r["streams"] * r["size_mb"] > BUDGET_MB]
    if max(beyond) - min(beyond) > FLAT_MB:
        missed.append(f"memory beyond the budget between {min(beyond)} and {max(beyond)} MB")
    if max(beyond) > rows[0]["before_mb"] + BUDGET_MB + FLAT_MB:
        missed.append(f"memory {max(beyond)} MB")
    if ratio > COSTS:
        missed.append(f"a small request costs {ratio:.3f} times the control's")
    if busy > BESIDE * calm:
        missed.append(f"p99 beside streams {busy:.1f} ms, {calm:.1f} in calm")
    print(f"{'streams':>8} {'MB each':>8} {'whole':>6} {'before':>7} {'peak MB':>8}")
    for r in rows:
        print(f"{r['streams']:8} {r['size_mb']:8} {r['whole']:6} {r['before_mb']:7} {r['peak_mb']:8}")
    for build, each in costs.items():
        print(f"small request, {build}: {statistics.median(each):.0f} us of CPU ({min(each):.0f} to {max(each):.0f})")
    print(f"p99 of small requests: {calm:.1f} ms in calm, {busy:.1f} ms beside streams, {busy / calm:.1f} times")
    for line in missed:
        print(f"bar missed: {line}")
    print(
        json.dumps(
            {
                "control": a.control,
                "met": not missed,
                "missed": missed,
                "memory": rows,
                "cpu_us": costs,
                "cpu_ratio": round(ratio, 3),
                "p99_ms": {"calm": calm, "beside": busy},
            }
        )
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
