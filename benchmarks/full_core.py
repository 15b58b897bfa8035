"""A core that is full: what the agent still serves in time beyond its knee, against the build of an earlier commit.

    python -m benchmarks.full_core                       six rates, both builds, about 90 s
    python -m benchmarks.full_core --quick               two rates, under 40 s
    python -m benchmarks.full_core --control b841c63     the commit to compare with

Clients want an answer in 80 ms, give up after 400 and ask again at once, twice, when they are refused; a third of
them come on new connections. Servers are idle: all that is short is the agent's core. A table, one plot in text, one
JSON line last. Status 0 if this build holds at least HOLDS of its best at every rate above it and is nowhere below
the control by more than NOISE; 1 if not; 2 if the control cannot be read; 3 if the clients could not offer the load.
"""

from __future__ import annotations

import argparse
import asyncio
import io
import json
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path
from typing import Any

from .processes import agent, backends, settings
from .request_load import Clients, Offered, offer_from

CONTROL = "b841c63"  # the last landing before
HOLDS = 0.6  # of the best goodput is still there beyond it: a plateau with a slope, no cliff
NOISE = 0.1
RATES, QUICK = (400, 700, 1000, 1400, 1900, 2500), (700, 1900)
SERVERS, DELAY_MS, DRIVERS = 6, 2.0, 3
CLIENTS = Clients(connections=12, fresh=0.33, retries=2, aim_ms=80, deadline_ms=400)
ROOT = Path(__file__).resolve().parent.parent


def parsed(doc: str | None, quick: str, control: str) -> argparse.Namespace:
    """The command line of a measurement against an earlier build."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help=quick)
    parser.add_argument("--control", default=control, metavar="COMMIT", help="the build to compare with")
    return parser.parse_args()


def unpacked(commit: str, folder: str) -> Path:
    """The packages of a commit; ends the program with status 2 where they cannot be had."""
    try:
        return unpack(commit, Path(folder))
    except (OSError, subprocess.CalledProcessError) as e:
        print(f"commit {commit} cannot be read: {e}", file=sys.stderr)
        sys.exit(2)


def unpack(commit: str, folder: Path) -> Path:
    """The packages of a commit. Raises OSError or CalledProcessError: a shallow clone may not hold it."""
    command = ["git", "archive", commit, ":(exclude)journal"]
    packed = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as tar:
        tar.extractall(folder, filter="data")
    return folder


async def play(rate: int, seconds: float, ports: dict[str, Any], tree: Path | None) -> tuple[Offered, float]:
    with tempfile.TemporaryDirectory() as folder:
        facts = settings(True, CLIENTS.aim_ms * 1000, CLIENTS.deadline_ms * 1000)
        async with agent(Path(folder), ports, 1024, facts=facts, tree=tree) as target:
            await offer_from(1, target.port, 200, 1.0, CLIENTS, seed=1)  # beliefs are warm
            before = target.cpu_us()
            offered = await offer_from(DRIVERS, target.port, rate, seconds, CLIENTS, seed=2)
            return offered, (target.cpu_us() - before) / 1e6 / seconds


async def measure(rates: tuple[int, ...], seconds: float, trees: dict[str, Path | None]) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for rate in rates:
        for build, tree in trees.items():
            async with backends(SERVERS, DELAY_MS) as ports:
                offered, cpu = await play(rate, seconds, ports, tree)
            rows.append(
                {
                    "rate": rate,
                    "build": build,
                    "good_per_s": round(offered.in_aim / seconds, 1),
                    "share": round(offered.in_aim / max(1, offered.asked), 3),
                    "cpu": round(cpu, 2),
                    **offered.as_json(),
                }
            )
            print(f"  {rate} a second, {build}: {rows[-1]['share']:.2f} in time", file=sys.stderr, flush=True)
    return rows


def broken(rows: list[dict[str, Any]]) -> list[str]:
    """The bars that do not hold."""
    found = []
    mine = [r for r in rows if r["build"] == "this"]
    best = max(mine, key=lambda r: r["good_per_s"])
    for r in mine:
        if r["rate"] > best["rate"] and r["good_per_s"] < HOLDS * best["good_per_s"]:
            found.append(f"{r['good_per_s']} a second in time at {r['rate']}, {best['good_per_s']} at {best['rate']}")
        for c in rows:
            if c["rate"] == r["rate"] and c["build"] != "this" and r["share"] < c["share"] - NOISE:
                found.append(f"{r['share']} in time at {r['rate']}, control {c['share']}")
    return found


def main() -> int:
    a = parsed(__doc__, "two rates, three seconds each", CONTROL)
    with tempfile.TemporaryDirectory() as folder:
        control = unpacked(a.control, folder)
        rows = asyncio.run(
            measure(QUICK if a.quick else RATES, 3.0 if a.quick else 5.0, {"this": None, a.control: control})
        )
    print(f"{'rate':>5} {'build':10} {'in time/s':>9} {'share':>6} {'refused':>8} {'silent':>7} {'p99 ms':>7} CPU")
    for r in rows:
        print(
            f"{r['rate']:5} {r['build']:10} {r['good_per_s']:9.0f} {r['share']:6.2f} {r['refused']:8} "
            f"{r['silent']:7} {r['p99_ms']:7.0f} {r['cpu']:5.2f}  {'#' * round(30 * r['share'])}"
        )
    bars = broken(rows)
    for line in bars:
        print(f"bar missed: {line}")
    late = [r["rate"] for r in rows if r["behind_ms"] > 50]
    print(json.dumps({"control": a.control, "met": not bars, "missed": bars, "late": late, "rows": rows}))
    return 3 if late else 1 if bars else 0


if __name__ == "__main__":
    sys.exit(main())
