"""A hosted service, the emulated fleet behind it, and loads as processes, for measurements."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from lilacsill.emulator.agents import settings
from lilacsill.emulator.models.plan import make_plan
from lilacsill.emulator.models.scenario import Class, Fleet, Load, Scenario
from lilacsill.emulator.plan_file import SUFFIX, write
from lilacsill.emulator.own_processes import start_servers

LEAD_S = 0.3
PHASE = 10**8  # request numbers of one phase: a number that came before would be answered from memory
FLEETS: list[int] = []  # process ids, the latest last
_phases = [0]


def cpu_s(pid: int) -> float:
    """Used so far, from the scheduler's own account."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def scenario(servers: int, work_ms: tuple[float, float], seconds: float) -> Scenario:
    """A fleet without troubles; the load is ours."""
    return Scenario(
        name="hosted",
        length_s=seconds,
        fleet=Fleet(servers=servers, idle_s=30.0),
        load=Load(agents=1, rate=50),
        classes=[Class(name="registro-servicio", share=1.0, work_ms=work_ms, effect="keyed")],
    )


@dataclass
class Service:
    """The process and its API."""

    process: asyncio.subprocess.Process
    port: int
    api: httpx.AsyncClient

    async def tenant(self, name: str, pool: str = "p", **spec: Any) -> str:
        """Returns the secret of its client credential."""
        made = await self.api.post("/v1/tenants", json={"name": name, "pool": pool, **spec})
        made.raise_for_status()
        issued = await self.api.post("/v1/credentials", json={"role": "client", "tenant": name})
        issued.raise_for_status()
        return str(issued.json()["secret"])

    async def status(self) -> dict[str, Any]:
        found: dict[str, Any] = (await self.api.get("/v1/status")).json()
        return found


@asynccontextmanager
async def fleet(
    folder: Path, servers: int, work_ms: tuple[float, float], seconds: float, probes: bool = False
) -> AsyncIterator[dict[str, Any]]:
    """Yields a pool's body. The clients' requests name their work by the arrivals of the plan."""
    plan = make_plan(scenario(servers, work_ms, seconds), 1)
    path = folder / f"fleet{SUFFIX}"
    write(plan, path)
    started = await start_servers(str(path), plan)
    FLEETS.extend(part.process.pid for part in started.pipes)
    started.begin(time.monotonic_ns() // 1000)
    facts = settings(plan.scenario, 0)
    facts.pop("tenants")
    # Two probes for each request would make the emulated fleet, one process, the limit of what is measured.
    facts["allowed"]["probes"] = probes
    try:
        yield {"discovery": f"127.0.0.1:{started.discovery[0]}", "settings": facts}
    finally:
        await started.end()


@asynccontextmanager
async def service(folder: Path, workers: int, store: str = "state.db") -> AsyncIterator[Service]:
    """The service as an operator starts it."""
    operator = folder / "operator.toml"
    operator.write_text(
        f'[hosted]\nlisten = "127.0.0.1:0"\nadmin_listen = "127.0.0.1:0"\n'
        f'store = "{folder / store}"\nworkers = {workers}\nsockets = 8192\n'
    )
    made = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lilacsill",
        "store",
        "bootstrap",
        "--operator",
        str(operator),
        stdout=asyncio.subprocess.PIPE,
    )
    token = (await made.communicate())[0].decode().strip()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lilacsill",
        "hosted",
        "--operator",
        str(operator),
        "--log-format",
        "text",
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    log: list[str] = []
    while b"serving on" not in (line := await process.stderr.readline()):
        if not line:
            raise RuntimeError(f"the service ended: {log}")
        log.append(line.decode())
    found = re.search(r"serving on [^:]+:(\d+), administration on port (\d+)", line.decode())
    assert found is not None

    async def read_log() -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            print(line.decode().rstrip(), file=sys.stderr)

    reading = asyncio.create_task(read_log())
    async with httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{found[2]}", timeout=60, headers={"Authorization": f"Bearer {token}"}
    ) as api:
        try:
            yield Service(process, int(found[1]), api)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            await reading


def merged(a: dict[str, Any], b: dict[str, Any]) -> dict[str, Any]:
    """The counts of one tenant from two processes; of latencies the worse."""

    def of(key: str) -> Any:
        if key == "statuses":
            return {s: a[key].get(s, 0) + b[key].get(s, 0) for s in a[key].keys() | b[key].keys()}
        return max(a[key], b[key]) if key.endswith("_ms") else a[key] + b[key]

    return {key: of(key) for key in a}


async def loads(port: int, seconds: float, groups: list[list[dict[str, Any]]], seed: int = 1) -> dict[str, Any]:
    """Each group is a process of its own; all begin at once. Returns the counts by tenant."""
    processes = []
    _phases[0] += 1
    for group in groups:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.tenant_load",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
        )
        assert process.stdin is not None and process.stdout is not None
        numbered = [{**t, "first": t.get("first", 0) + _phases[0] * PHASE} for t in group]
        what = {"port": port, "seconds": seconds, "seed": seed, "tenants": numbered}
        process.stdin.write(json.dumps(what).encode() + b"\n")
        processes.append(process)
    for process in processes:
        assert process.stdout is not None
        if b"ready" not in await process.stdout.readline():
            raise RuntimeError("a load did not start")
    begin = time.monotonic() + LEAD_S
    for process in processes:
        assert process.stdin is not None
        process.stdin.write(f"{begin}\n".encode())
    counts: dict[str, Any] = {}
    for process in processes:
        assert process.stdout is not None
        found = json.loads(await process.stdout.read())
        if found["behind_ms"] > 20:
            print(f"a load generator was {found['behind_ms']} ms behind", file=sys.stderr)
        for name, of in found["tenants"].items():
            counts[name] = merged(counts[name], of) if name in counts else of
        await process.wait()
    return counts
