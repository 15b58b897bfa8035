"""Known clients in a storm of strangers, under 128 descriptors.

Two storms against one agent each: many addresses, and three that hold hundreds. Known clients ask all the while; the
control is the same known clients on the same agent just before the storm. Then 100,000 connections for the memory,
and the CPU of a refusal against that of a served request.

    python -m benchmarks.admission            # about 3 minutes
    python -m benchmarks.admission --quick    # under 60 s: shorter storms, 20,000 connections

Exit status 0 only if every bar holds; the last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .processes import AgentProcess, agent, backends
from .storming import percentile, request

SOCKETS = 128
KNOWN = "127.9.0.{}"
CLIENTS = 20  # known ones
EVERY_S = 0.25  # each asks so often, on a new connection
OPERATOR = '[admission]\nknown = ["127.9.0.0/16"]\nreserve = 24\nbusy_ms = 3.0\n'
BARS = {"p99_ratio": 3.0, "refusal_share": 0.2, "growth_mb": 1.0}


@dataclass
class Asked:
    """What known clients got."""

    served: int = 0
    other: list[str] = field(default_factory=list)
    took_s: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        return self.served / max(1, self.served + len(self.other))

    def p99_ms(self) -> float:
        return 1000 * percentile(self.took_s, 0.99)


async def ask(port: int, source: str, number: str, asked: Asked) -> None:
    """One request on a new connection, timed from before the connect."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0))
            writer.write(request(number))
            status = (await reader.readline()).decode().split()[1:2] or ["closed"]
        writer.transport.abort()
    except ConnectionError:
        status = ["closed"]  # its request crossed the close
    except OSError as e:
        status = [type(e).__name__]
    asked.took_s.append(loop.time() - began)
    if status == ["200"]:
        asked.served += 1
    else:
        asked.other.append(status[0])


async def known_clients(port: int, seconds: float, mark: str) -> Asked:
    """Open loop: a slow answer does not hold the next request back."""
    asked, tasks = Asked(), []
    for turn in range(int(seconds / EVERY_S * CLIENTS)):
        tasks.append(asyncio.create_task(ask(port, KNOWN.format(turn % CLIENTS + 1), f"{mark}-{turn}", asked)))
        await asyncio.sleep(EVERY_S / CLIENTS)
    await asyncio.gather(*tasks)
    return asked


async def storm(port: int, addresses: int, connections: int, seconds: float) -> dict[str, Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.storming",
        str(port),
        "--addresses",
        str(addresses),
        "--connections",
        str(connections),
        "--seconds",
        str(seconds),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    result: dict[str, Any] = json.loads(out)
    return result


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


async def storm_day(
    ports: dict[str, Any], name: str, addresses: int, connections: int, seconds: float, operator: str
) -> dict[str, Any]:
    """Calm, then a storm, on one agent."""
    with tempfile.TemporaryDirectory() as folder:
        async with agent(Path(folder), ports, SOCKETS, operator) as a:
            say(f"{name}: calm")
            await known_clients(a.port, 2.0, "warm")
            calm = await known_clients(a.port, seconds / 2, "calm")
            say(f"{name}: storm of {connections} connections a second from {addresses} addresses")
            cpu = a.cpu_us()
            blowing = asyncio.create_task(storm(a.port, addresses, connections, seconds))
            await asyncio.sleep(1.0)
            asked = await known_clients(a.port, seconds - 2.0, "storm")
            heard = await blowing
            cpu_share = (a.cpu_us() - cpu) / 1e6 / seconds
        return {
            "name": name,
            "known_served": asked.share,
            "calm_served": calm.share,
            "known_asked": len(asked.took_s),
            "known_other": sorted(set(asked.other)),
            "known_p99_ms": round(asked.p99_ms(), 2),
            "calm_p99_ms": round(calm.p99_ms(), 2),
            "agent_cpu": round(cpu_share, 2),
            "log_lines": len(a.log),
            **heard,
        }


async def connections_through(port: int, count: int) -> int:
    """So many short connections of strangers; returns how many asked in vain."""
    result = await storm(port, 2000, 2500, count / 2500)
    return int(result["visits"])


async def memory(ports: dict[str, Any], connections: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        async with agent(Path(folder), ports, SOCKETS, OPERATOR) as a:
            say(f"memory: {connections} connections")
            # The first ones fill the tables, which are bounded; what comes after them must not grow.
            done = await connections_through(a.port, connections // 5)
            before = a.rss_mb()
            done += await connections_through(a.port, connections - connections // 5)
            return {"connections": done, "rss_mb_before": round(before, 2), "rss_mb_after": round(a.rss_mb(), 2)}


async def refused(a: AgentProcess, times: int) -> float:
    """CPU of one refusal with its answer, in microseconds: visits from an address at its cap, a few at once."""
    holders = [await asyncio.open_connection("127.0.0.1", a.port, local_addr=("127.100.0.1", 0)) for _ in range(4)]
    for i, (reader, writer) in enumerate(holders):
        writer.write(request(f"hold-{i}"))
        await reader.readline()
    asked = Asked()
    began = a.cpu_us()
    for turn in range(times // 20):
        await asyncio.gather(*(ask(a.port, "127.100.0.1", f"r-{turn}-{i}", asked) for i in range(20)))
    used = a.cpu_us() - began
    if asked.served or set(asked.other) - {"503", "closed"}:
        raise RuntimeError(f"refusals expected: {asked.served} served, {set(asked.other)}")
    for _, writer in holders:
        writer.close()
    return used / len(asked.other)


async def served(a: AgentProcess, times: int) -> float:
    """CPU of one served request on a new connection, the same few at once, in microseconds."""
    asked = Asked()
    began = a.cpu_us()
    for turn in range(times // 20):
        await asyncio.gather(*(ask(a.port, "127.9.0.1", f"s-{turn}-{i}", asked) for i in range(20)))
    used = a.cpu_us() - began
    if asked.other:
        raise RuntimeError(f"answers expected: {set(asked.other)}")
    return used / asked.served


async def cost(ports: dict[str, Any], times: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        async with agent(Path(folder), ports, 512, '[admission]\nknown = ["127.9.0.0/16"]\n') as a:
            say(f"cost: {times} served requests")
            await served(a, times // 4)
            serve_us = await served(a, times)
        async with agent(Path(folder), ports, 512, "[admission]\nper_address = 4\n") as a:
            say(f"cost: {times} refusals")
            refuse_us = await refused(a, times)
    return {"cpu_us_per_refusal": round(refuse_us, 1), "cpu_us_per_served": round(serve_us, 1)}


async def measure(quick: bool) -> dict[str, Any]:
    seconds = 8.0 if quick else 30.0
    async with backends(4, 5.0) as ports:
        many = await storm_day(ports, "many addresses", 2500, 2000, seconds, OPERATOR)
        three = await storm_day(ports, "three addresses", 3, 2000, seconds, OPERATOR + "per_address = 20\n")
        remembered = await memory(ports, 20_000 if quick else 100_000)
        costs = await cost(ports, 1000 if quick else 4000)
    storms = [many, three]
    result: dict[str, Any] = {
        "benchmark": "admission",
        "quick": quick,
        "sockets": SOCKETS,
        "storms": storms,
        "known_served": min(s["known_served"] for s in storms),
        "known_p99_ms": max(s["known_p99_ms"] for s in storms),
        "p99_ratio": round(max(s["known_p99_ms"] / max(0.001, s["calm_p99_ms"]) for s in storms), 2),
        "strangers_hanging": sum(s["hanging"] for s in storms),
        "refuse_p99_ms": max(s["refuse_p99_ms"] for s in storms),
        **remembered,
        **costs,
        "refusal_share": round(costs["cpu_us_per_refusal"] / costs["cpu_us_per_served"], 3),
    }
    result["missed"] = missed(result)
    return result


def missed(r: dict[str, Any]) -> list[str]:
    """The bars that do not hold."""
    checks = {
        "known clients are served in full": r["known_served"] == 1.0,
        f"their p99 is within {BARS['p99_ratio']} times the calm one": r["p99_ratio"] <= BARS["p99_ratio"],
        "no stranger hears nothing for a second": r["strangers_hanging"] == 0,
        f"memory grows by at most {BARS['growth_mb']} MB": r["rss_mb_after"] - r["rss_mb_before"] <= BARS["growth_mb"],
        f"a refusal costs under {BARS['refusal_share']} of a served request": r["refusal_share"]
        < BARS["refusal_share"],
    }
    return [name for name, holds in checks.items() if not holds]


def table(r: dict[str, Any]) -> str:
    rows = [
        f"{'storm':<16} {'known':>7} {'p99 ms':>8} {'calm ms':>8} {'visits':>7} {'hanging':>8} {'refuse p99':>11} "
        f"{'CPU':>5} {'log':>4}  strangers heard"
    ]
    for s in r["storms"]:
        rows.append(
            f"{s['name']:<16} {s['known_served']:>7.1%} {s['known_p99_ms']:>8.1f} {s['calm_p99_ms']:>8.1f} "
            f"{s['visits']:>7} {s['hanging']:>8} {s['refuse_p99_ms']:>8.1f} ms {s['agent_cpu']:>5.2f} "
            f"{s['log_lines']:>4}  {s['heard']}"
        )
    rows.append(f"memory over {r['connections']} connections: {r['rss_mb_before']} to {r['rss_mb_after']} MB")
    rows.append(
        f"CPU: {r['cpu_us_per_refusal']} µs a refusal, {r['cpu_us_per_served']} µs a served request "
        f"({r['refusal_share']:.2f})"
    )
    rows += [f"MISSED: {m}" for m in r["missed"]] or ["all bars hold"]
    return "\n".join(rows)


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.admission", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="under 60 s")
    parser.add_argument("--json", action="store_true", help="the JSON line alone")
    arguments = parser.parse_args()
    result = asyncio.run(measure(arguments.quick))
    if not arguments.json:
        print(table(result))
    print(json.dumps(result))
    return 1 if result["missed"] else 0


if __name__ == "__main__":
    sys.exit(main())
