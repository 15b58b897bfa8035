"""What a request costs: CPU of the agent against a bare pass-through in the same run, split by part.

    python -m benchmarks.request_cost            four plays, about 40 s
    python -m benchmarks.request_cost --quick    about 15 s

Each play drives one process at a steady rate below what fills a core, so that batching of a full core hides
nothing. The last line is JSON; exit status 0 only if the agent without probes costs at most BAR times the bare
pass-through, 3 if the driver could not offer the load.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from contextlib import asynccontextmanager
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from .processes import agent, backends, settings
from .request_load import Clients, Offered, offer

BAR = 3.0  # times the CPU of the bare pass-through
RATE, CONNECTIONS, BACKENDS, DELAY_MS = 500.0, 12, 6, 2.0
FRESH = 0.35  # of the requests come on a connection of their own, as on the bench's rate day


class Bare:
    """The pass-through as a process."""

    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process, self.port = process, port

    def cpu_us(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1000


@asynccontextmanager
async def bare(ports: list[int]) -> AsyncIterator[Bare]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.passthrough",
        *map(str, ports),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        yield Bare(process, int(await process.stdout.readline()))
    finally:
        process.stdin.close()
        await process.wait()


async def cost(target: Any, seconds: float, fresh: float) -> tuple[float, Offered]:
    """Microseconds of CPU a request, once connections and beliefs are warm."""
    clients = Clients(CONNECTIONS, fresh)
    await offer(target.port, RATE, 1.0, clients, seed=1)
    before = target.cpu_us()
    offered = await offer(target.port, RATE, seconds, clients, seed=2)
    return (target.cpu_us() - before) / offered.asked, offered


async def measure(seconds: float) -> tuple[list[dict[str, Any]], dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    parts: dict[str, Any] = {}
    async with backends(BACKENDS, DELAY_MS) as ports:
        for name, fresh in (("kept connections", 0.0), ("a third new", FRESH)):
            async with bare(ports["backends"]) as target:
                control, offered = await cost(target, seconds, fresh)
            rows.append({"play": f"pass-through, {name}", "us": control, "ratio": 1.0, **offered.as_json()})
            for probes in (False, True):
                with tempfile.TemporaryDirectory() as folder:
                    out = Path(folder) / "samples.json"
                    async with agent(Path(folder), ports, 1024, facts=settings(probes)) as target:
                        us, offered = await cost(target, seconds, fresh)
                    what = f"agent{', probes' if probes else ''}, {name}"
                    rows.append({"play": what, "us": us, "ratio": us / control, **offered.as_json()})
                    # The split is a play of its own: a sampler costs CPU, too.
                    async with agent(Path(folder), ports, 1024, facts=settings(probes), sample=out) as target:
                        await cost(target, seconds, fresh)
                    parts[what] = {"us": us, **json.loads(out.read_text())}
    return rows, parts


def table(rows: list[dict[str, Any]], parts: dict[str, Any]) -> str:
    lines = [f"{'play':34} {'CPU us':>8} {'times':>6} {'asked':>6} {'served':>7} {'p99 ms':>7}"]
    lines += [
        f"{r['play']:34} {r['us']:8.0f} {r['ratio']:6.2f} {r['asked']:6} {r['served']:7} {r['p99_ms']:7.1f}"
        for r in rows
    ]
    for what, found in parts.items():
        total = sum(found["parts"].values()) or 1
        lines.append(f"\n{what}: of {found['us']:.0f} us")
        lines += [
            f"  {name:24} {n / total * found['us']:6.0f} us {n / total:6.1%}"
            for name, n in sorted(found["parts"].items(), key=lambda kv: -kv[1])
        ]
        top = sorted(found["functions"].items(), key=lambda kv: -kv[1])[:12]
        lines.append("  innermost: " + ", ".join(f"{f} {n / total:.0%}" for f, n in top))
    return "\n".join(lines)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="two seconds a play in place of eight")
    a = parser.parse_args()
    rows, parts = asyncio.run(measure(2.0 if a.quick else 8.0))
    print(table(rows, parts))
    worst = max(r["ratio"] for r in rows if r["play"].startswith("agent, kept"))
    late = any(r["behind_ms"] > 20 for r in rows)
    print(
        json.dumps(
            {
                "rate": RATE,
                "ratio": round(worst, 2),
                "bar": BAR,
                "met": worst <= BAR,
                "late": late,
                "rows": [{k: round(v, 2) if isinstance(v, float) else v for k, v in r.items()} for r in rows],
            }
        )
    )
    return 3 if late else 0 if worst <= BAR else 1


if __name__ == "__main__":
    sys.exit(main())
