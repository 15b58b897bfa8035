"""Starts what a measurement needs as processes of their own, ends just those, and reads their figures."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .standins import members


def settings(probes: bool = True, aim_us: int = 300_000, deadline_us: int = 750_000) -> dict[str, Any]:
    """The platform's settings."""

    def profile(name: str, repeat: str, value: float) -> dict[str, Any]:
        return {
            "name": name,
            "aimUs": aim_us,
            "deadlineUs": deadline_us,
            "repeat": repeat,
            "dedupScope": "all",
            "memorySpanUs": 15_000_000,
            "value": value,
        }

    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": 5_000_000,
            "connectTimeoutUs": 250_000,
            "maxAttempts": 5,
            "peers": False,
            "probes": probes,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "secondCopies": False,
        },
        "profiles": [profile("registro-servicio", "dedup", 10.0), profile("vale-almacen", "fragile", 3.0)],
        "tenants": [{"name": "norvalle", "quotaPerS": 0.0, "share": 1.0}],
        "report": {"columns": ["inflight", "queue", "util"], "source": "inline"},
        "rules": {
            "startCapacity": 0.13,
            "warmUpUs": 24_000_000,
            "fallMultiple": 2.5,
            "tipAfterUs": 3_000_000,
            "graceToAnswerUs": 5000,
        },
        "prices": {"probe": 0.002},
        "siblings": 1,
        "registryMode": "ask",
        "quantumUs": 1000,
        "localities": ["a"],
        "skus": ["m"],
    }


@dataclass
class AgentProcess:
    """One agent and its figures."""

    process: asyncio.subprocess.Process
    port: int
    log: list[str]

    def cpu_us(self) -> float:
        """CPU used so far, from the scheduler's own account."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1000

    def rss_mb(self) -> float:
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@asynccontextmanager
async def backends(count: int, delay_ms: float) -> AsyncIterator[dict[str, Any]]:
    """Stand-ins in one process; yields their ports."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.standins",
        "--backends",
        str(count),
        "--delay-ms",
        str(delay_ms),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None and process.stdin is not None
    try:
        yield json.loads(await process.stdout.readline())
    finally:
        process.stdin.close()
        await process.wait()


@asynccontextmanager
async def agent(
    folder: Path,
    ports: dict[str, Any],
    sockets: int,
    operator: str | None = None,
    facts: dict[str, Any] | None = None,
    sample: Path | None = None,
    tree: Path | None = None,
    memory_mb: int = 192,
) -> AsyncIterator[AgentProcess]:
    """The agent as the deployment starts it, under a limit of descriptors. `facts`: the settings, where they are not
    the usual ones; `sample`: where the counts of a sampler go, which runs in it then; `tree`: another checkout."""
    config = folder / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{ports['discovery']}",
                "seed": "8c1f",
                "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                "settings": facts or settings(),
                "known": members(ports["backends"]),
            }
        )
    )
    arguments = ["lilacsill"] if sample is None else ["benchmarks.sampled", str(sample)]
    if operator is not None:
        (folder / "operator.toml").write_text(operator)
        arguments += ["--operator", str(folder / "operator.toml")]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stderr=asyncio.subprocess.PIPE,
        cwd=tree,
        env={**os.environ, "RELAY_CONFIG": str(config)},
    )
    assert process.stderr is not None
    log: list[str] = []
    while b"listens on" not in (line := await process.stderr.readline()):
        if not line:
            raise RuntimeError(f"the agent ended before it listened: {log}")
        log.append(line.decode())
    started = AgentProcess(process, int(line.rpartition(b":")[2]), log)

    async def read_log() -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            log.append(line.decode().rstrip())

    reading = asyncio.create_task(read_log())
    try:
        yield started
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.wait()
        await reading
