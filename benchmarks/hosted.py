"""Whether hosted tenants feel each other: floods, weights, many tenants, changes under load, workers, memory.

    python -m benchmarks.hosted                 # about 6 minutes, six cores
    python -m benchmarks.hosted --quick         # under 60 s
    python -m benchmarks.hosted --only flood changes

Real service, emulated fleet, loads in processes of their own. Every comparison has its control in the same run. Exit
status 0 only if all bars hold; the last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from lilacsill.hosted.decisions.fair_queue import jain_index

from .hosting import FLEETS, Service, cpu_s, fleet, loads, service

SERVERS, WORK_MS = 8, (8.0, 12.0)  # 800 requests a second in all
FLOODERS = 4  # processes; one cannot ask so often
RATE = 120.0  # of each of two tenants within its share
SERVICE_BAR, P99_BAR, JAIN_BAR, SIZE_BAR, FORCE_MS, IDLE_KB = 0.02, 1.2, 0.99, 0.05, 100.0, 4.0


class Run:
    """The rows and what was missed."""

    def __init__(self, quick: bool) -> None:
        self.quick = quick
        self.figures: dict[str, Any] = {}
        self.missed: list[str] = []

    def bar(self, ok: bool, what: str) -> None:
        if not ok:
            self.missed.append(what)

    def seconds(self, quick: float, full: float) -> float:
        return quick if self.quick else full


def share(c: dict[str, Any]) -> float:
    """Of what was asked for, served within the aim."""
    return float(c["in_aim"] / max(1, c["asked"]))


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


async def flood(run: Run, folder: Path) -> None:
    """Two tenants, one at five (and fifty) times its share; the other's service against its own before."""
    seconds = run.seconds(5, 20)
    async with fleet(folder, SERVERS, WORK_MS, 300) as pool, service(folder, 1) as s:
        (await s.api.post("/v1/pools", json={"name": "p", **pool})).raise_for_status()
        secrets = {n: await s.tenant(n, quota_per_s=RATE * 1.2) for n in ("quiet", "loud")}

        def tenant(name: str, **what: Any) -> dict[str, Any]:
            return {"name": name, "secret": secrets[name], "first": 0 if name == "quiet" else 10**7, **what}

        await loads(s.port, 2, [[tenant("quiet", rate=RATE)], [tenant("loud", rate=RATE)]], 9)  # paces are learned
        calm = await loads(s.port, seconds, [[tenant("quiet", rate=RATE)], [tenant("loud", rate=RATE)]])
        rows, cores = {"calm": calm}, {"calm": ("-", "-")}
        kinds: dict[str, dict[str, Any]] = {
            "5 times": {"rate": 5 * RATE},
            "closed, 300 at once": {"at_once": 300, "connections": 300},
        }
        if not run.quick:
            kinds |= {
                "50 times": {"rate": 50 * RATE / FLOODERS, "connections": 2000 // FLOODERS, "over": FLOODERS},
                "60 KB bodies": {"rate": 5 * RATE, "body": 60_000},
                "bad credentials": {"at_once": 100, "secret": "ls_0123456789ab_" + "A" * 43},
            }
        for kind, what in kinds.items():
            say(f"flood: {kind}")
            pids = (await s.status())["workers"][0]["pid"], FLEETS[-1]
            before = [cpu_s(p) for p in pids]
            rows[kind] = await loads(
                s.port,
                seconds,
                [
                    [tenant("quiet", rate=RATE)],
                    *([tenant("loud", **what) | {"first": (i + 1) * 10**7}] for i in range(what.pop("over", 1))),
                ],
            )
            used = [f"{(cpu_s(p) - b) / seconds:.2f}" for p, b in zip(pids, before, strict=True)]
            cores[kind] = used[0], used[1]
    base, p99 = share(calm["quiet"]), calm["quiet"]["p99_ms"]
    print(
        f"{'loud tenant':<22} {'quiet: in aim':>13} {'p50 ms':>7} {'p99 ms':>7} {'loud: asked':>12} {'served':>8} "
        f"{'refused':>8} {'failed':>7} {'no answer':>10} {'worker':>7} {'fleet':>6}"
    )
    for kind, found in rows.items():
        q, x = found["quiet"], found["loud"]
        print(
            f"{kind:<22} {share(q):>13.4f} {q['p50_ms']:>7} {q['p99_ms']:>7} {x['asked']:>12} {x['served']:>8} "
            f"{x['refused']:>8} {x['failed']:>7} {x['silent']:>10} {cores[kind][0]:>7} {cores[kind][1]:>6}"
        )
        run.bar(share(q) >= base - SERVICE_BAR, f"flood, {kind}: quiet {share(q):.3f} against {base:.3f}")
        run.bar(q["p99_ms"] <= P99_BAR * p99, f"flood, {kind}: quiet p99 {q['p99_ms']} ms against {p99}")
    run.figures["flood"] = rows


async def many(run: Run, folder: Path) -> None:
    """Fifty tenants, ten of them at ten times their share."""
    seconds, rate = run.seconds(5, 20), 5.0
    async with fleet(folder, SERVERS, WORK_MS, 300) as pool, service(folder, 1) as s:
        (await s.api.post("/v1/pools", json={"name": "p", **pool})).raise_for_status()
        secrets = [await s.tenant(f"t{i}", quota_per_s=rate * 1.5) for i in range(50)]

        def group(loud: float) -> list[list[dict[str, Any]]]:
            some = [
                {"name": f"t{i}", "secret": secrets[i], "rate": rate * (loud if i < 10 else 1.0), "first": i * 10**6}
                for i in range(50)
            ]
            return [some[:10], some[10:30], some[30:]]

        await loads(s.port, 2, group(1.0), 9)
        calm = await loads(s.port, seconds, group(1.0))
        say("many: ten of fifty flood")
        loud = await loads(s.port, seconds, group(10.0))
    quiet = [f"t{i}" for i in range(10, 50)]
    before = sum(share(calm[t]) for t in quiet) / len(quiet)
    worst = min(quiet, key=lambda t: share(loud[t]))
    print(
        f"50 tenants, 10 at ten times: quiet ones calm {before:.4f}, worst quiet one {share(loud[worst]):.4f}, "
        f"mean {sum(share(loud[t]) for t in quiet) / len(quiet):.4f}"
    )
    run.bar(share(loud[worst]) >= before - SERVICE_BAR, f"many: {worst} {share(loud[worst]):.3f} of {before:.3f}")
    run.figures["many"] = {"calm": before, "worst": share(loud[worst])}


async def weights(run: Run, folder: Path) -> None:
    """Eight saturated tenants of weights 1 to 4: what each gets by its weight."""
    seconds = run.seconds(5, 20)
    async with fleet(folder, SERVERS, (0.4, 0.6), 300) as pool, service(folder, 1) as s:
        (await s.api.post("/v1/pools", json={"name": "p", **pool})).raise_for_status()
        by = {f"t{i}": 1.0 + i % 4 for i in range(8)}
        secrets = {n: await s.tenant(n, weight=w) for n, w in by.items()}
        group = [{"name": n, "secret": secrets[n], "at_once": 24, "first": i * 10**6} for i, n in enumerate(by)]
        await loads(s.port, 2, [group[:4], group[4:]], 9)
        found = await loads(s.port, seconds, [group[:2], group[2:4], group[4:6], group[6:]])
    gets = {n: found[n]["served"] / by[n] / seconds for n in by}
    index = jain_index(list(gets.values()))
    print(
        "weights: served a second for each unit of weight: "
        + "  ".join(f"{n}({by[n]:.0f}) {g:.1f}" for n, g in gets.items())
    )
    print(f"weights: Jain's index {index:.4f}")
    run.bar(index >= JAIN_BAR, f"weights: Jain's index {index:.3f}, {JAIN_BAR} asked")
    run.figures["weights"] = {"index": round(index, 4), "gets": gets}


async def fill(s: Service, count: int) -> None:
    """Tenants that are configured and do nothing."""
    gate = asyncio.Semaphore(32)

    async def one(i: int) -> None:
        async with gate:
            (await s.api.post("/v1/tenants", json={"name": f"idle{i}", "pool": "p"})).raise_for_status()

    await asyncio.gather(*(one(i) for i in range(count)))


async def size(run: Run, folder: Path) -> None:
    """Throughput with ten thousand tenants configured against a service with two, in turns; what each of them costs."""
    seconds, rounds, count = run.seconds(2, 5), 2 if run.quick else 4, 1000 if run.quick else 10_000
    async with (
        fleet(folder, SERVERS, (0.4, 0.6), 600) as pool,
        service(folder, 1, "few.db") as few,
        service(folder, 1, "many.db") as many,
    ):
        groups = {}
        for s in (few, many):
            (await s.api.post("/v1/pools", json={"name": "p", **pool})).raise_for_status()
            groups[s.port] = [
                [{"name": n, "secret": await s.tenant(n), "at_once": 40, "first": i * 10**7}]
                for i, n in enumerate(("a", "b"))
            ]
            await loads(s.port, 2, groups[s.port], 9)
        before = (await many.status())["workers"][0]["rss_mb"]
        say(f"size: {count} tenants are configured")
        began = time.monotonic()
        await fill(many, count)
        took = time.monotonic() - began
        await asyncio.sleep(1)
        after = (await many.status())["workers"][0]["rss_mb"]
        got = {few.port: 0.0, many.port: 0.0}
        for turn in range(rounds):
            for s in (few, many) if turn % 2 else (many, few):
                found = await loads(s.port, seconds, groups[s.port])
                got[s.port] += sum(c["served"] for c in found.values()) / seconds / rounds
    less, more = got[few.port], got[many.port]
    kb = (after - before) * 1024 / count
    print(
        f"size: {less:.0f} a second with 2 tenants, {more:.0f} with {count + 2} ({more / less:.3f}, {rounds} "
        f"rounds in turns); {kb:.2f} KB a tenant in a worker; {count / took:.0f} tenants a second made"
    )
    run.bar(more >= (1 - SIZE_BAR) * less, f"size: {more:.0f} a second against {less:.0f}")
    run.bar(kb < IDLE_KB, f"size: {kb:.2f} KB a tenant, {IDLE_KB} asked")
    run.figures["size"] = {"tenants": count, "few_per_s": less, "many_per_s": more, "kb": round(kb, 2)}


async def changes(run: Run, folder: Path) -> None:
    """A thousand changes a minute under load: when each is in force on all workers, and who else feels it."""
    seconds = run.seconds(6, 60)
    async with fleet(folder, SERVERS, WORK_MS, 300) as pool, service(folder, 2) as s:
        (await s.api.post("/v1/pools", json={"name": "p", **pool})).raise_for_status()
        secret = await s.tenant("steady")
        await s.tenant("changing")
        group = [[{"name": "steady", "secret": secret, "rate": 2 * RATE}]]
        await loads(s.port, 2, group, 9)
        loading = asyncio.create_task(loads(s.port, seconds, group))
        took: list[float] = []
        began = time.monotonic()
        number = 0
        while not loading.done():
            number += 1
            at = time.monotonic()
            answer = await s.api.patch("/v1/tenants/changing", json={"weight": 1 + number % 7})
            took.append(1000 * (time.monotonic() - at))
            assert answer.status_code == 200 and answer.json()["in_force"]
            await asyncio.sleep(max(0.0, began + number * 0.06 - time.monotonic()))
        found = (await loading)["steady"]
    took.sort()
    p99 = took[int(0.99 * (len(took) - 1))]
    print(
        f"changes: {number} in {seconds:.0f} s, in force on 2 workers after {took[len(took) // 2]:.1f} ms (median), "
        f"{p99:.1f} (p99); steady tenant: {found['asked']} asked, {found['refused']} refused, "
        f"{found['failed'] + found['silent']} lost"
    )
    run.bar(p99 <= FORCE_MS, f"changes: p99 {p99:.0f} ms, {FORCE_MS:.0f} asked")
    lost = found["refused"] + found["failed"] + found["silent"]
    run.bar(not lost, f"changes: {lost} requests of others were refused or lost")
    run.figures["changes"] = {"count": number, "p99_ms": round(p99, 1), "steady": found}


async def workers(run: Run, folder: Path) -> None:
    """Requests a second by the number of workers, where the fleet is no limit."""
    seconds = run.seconds(3, 10)
    rows: dict[int, float] = {}
    for count in (1, 2, 4):
        async with fleet(folder, 16, (0.2, 0.3), 120) as pool, service(folder, count, f"workers{count}.db") as s:
            (await s.api.post("/v1/pools", json={"name": "p", **pool})).raise_for_status()
            secret = await s.tenant("t")
            groups = [[{"name": f"t{i}", "secret": secret, "at_once": 32, "first": i * 10**7}] for i in range(3)]
            await loads(s.port, 1, groups, 9)
            found = await loads(s.port, seconds, groups)
            rows[count] = sum(c["served"] for c in found.values()) / seconds
    print("workers: " + "  ".join(f"{n}: {r:.0f} a second ({r / rows[1]:.2f})" for n, r in rows.items()))
    run.figures["workers"] = rows


PARTS: dict[str, Callable[[Run, Path], Awaitable[None]]] = {
    "flood": flood,
    "many": many,
    "weights": weights,
    "size": size,
    "changes": changes,
    "workers": workers,
}


async def play(run: Run, names: list[str]) -> None:
    for name in names:
        say(f"{name} ...")
        with tempfile.TemporaryDirectory(prefix="hosted-") as folder:
            await PARTS[name](run, Path(folder))


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.hosted", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="short, smaller, under 60 s")
    parser.add_argument("--only", nargs="+", choices=sorted(PARTS), help="these parts alone")
    arguments = parser.parse_args()
    run = Run(arguments.quick)
    names = arguments.only or (["flood", "weights", "size", "changes"] if run.quick else list(PARTS))
    asyncio.run(play(run, names))
    print("\n".join([f"MISSED: {m}" for m in run.missed] or ["all bars hold"]))
    print(json.dumps({"benchmark": "hosted", "quick": run.quick, "parts": run.figures, "missed": run.missed}))
    return 1 if run.missed else 0


if __name__ == "__main__":
    sys.exit(main())
