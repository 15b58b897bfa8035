"""Agents as the deployment starts them: by the `run` line of deploy/balancer.toml, under limits."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .models.scenario import Scenario

ROOT = Path(__file__).parents[2]
EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
"""The effects of classes, and the platform's names of them."""
QUOTA_MARGIN = 1.2
"""A tenant's quota is its usual rate times this."""
STOP_TIMEOUT_S = 10.0
MAX_LOG_LINES = 5000
FIRST_SEED = 0x8C1F
"""The seed of the first agent; the next ones follow."""


class AgentError(Exception):
    """An agent did not start; the message has the end of its log."""


def settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings of an agent as the platform writes them.

    Args:
        scenario: What is played.
        number: Of the agent.
    """
    fleet, load = scenario.fleet, scenario.load
    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": int(fleet.idle_s * 1e6),
            "connectTimeoutUs": 250_000,
            "maxAttempts": 5,
            "peers": scenario.peers.enabled,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfterUs": int(load.retry_after_max_s * 1e6),
            "secondCopies": False,
        },
        "profiles": [
            {
                "name": request_class.name,
                "aimUs": int(request_class.aim_ms * 1000),
                "deadlineUs": int(request_class.deadline_ms * 1000),
                "repeat": EFFECTS[request_class.effect],
                "dedupScope": "all",
                "memorySpanUs": int(fleet.memory_s * 1e6),
                "value": request_class.worth,
            }
            for request_class in scenario.classes
        ],
        "tenants": [
            {"name": tenant.name, "share": tenant.share, "quotaPerS": load.rate * tenant.share * QUOTA_MARGIN}
            for tenant in scenario.tenants
        ],
        "report": {"columns": ["inflight", "queue", "util"], "source": "inline"},
        "rules": {
            "startCapacity": fleet.cold_share,
            "warmUpUs": int(fleet.warm_up_s * 1e6),
            "fallMultiple": fleet.fall_multiple,
            "tipAfterUs": int(fleet.fall_window_s * 1e6),
            "graceToAnswerUs": 5000,
            "askWithinUs": 10_000_000,
        },
        "prices": {"probe": 0.002, "waste": 0.1, "lateFail": 0.05, "crossZone": 0.005},
        "overShareWorth": 0.1,
        "siblings": load.agents,
        "me": number,
        "registryMode": "ask",
        "quantumUs": 1000,
        "localities": ["a"],
        "skus": ["m"],
    }


def configuration(
    scenario: Scenario, number: int, discovery: int, known: dict[str, Any], listen: str = "127.0.0.1:0"
) -> dict[str, Any]:
    """Return the configuration of an agent as the platform writes it.

    Args:
        scenario: What is played.
        number: Of the agent.
        discovery: The port of discovery.
        known: The list of servers that the agent starts with.
        listen: Where it listens for clients.
    """
    return {
        "name": f"n{number}",
        "listen": listen,
        "discovery": f"127.0.0.1:{discovery}",
        "seed": f"{FIRST_SEED + number:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": scenario.load.sockets},
        "settings": settings(scenario, number),
        "known": known,
    }


def recorder_section(folder: Path, name: str) -> str:
    """Return the section of the operator file by which an agent records into a folder."""
    return f"[recorder]\nbeliefs_ms = 5\npath = {json.dumps(str((folder / f'{name}.rec').absolute()))}\n"


def figures(pid: int) -> dict[str, float]:
    """Return CPU seconds, resident memory in MB and descriptors of a process; empty once it has ended."""
    try:
        cpu_s = int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return {
            "cpu_s": round(cpu_s, 2),
            "rss_mb": round(pages * os.sysconf("SC_PAGE_SIZE") / 2**20, 1),
            "descriptors": len(os.listdir(f"/proc/{pid}/fd")),
        }
    except OSError:
        return {}


@dataclass
class Agent:
    """One running agent."""

    process: asyncio.subprocess.Process
    port: int
    log: list[str] = field(default_factory=list)
    _reader: asyncio.Task[None] | None = None

    def stall(self, stalled: bool) -> None:
        """Take the CPU from it, as a platform does that enforces a limit, or give it back."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGSTOP if stalled else signal.SIGCONT)

    def figures(self) -> dict[str, float]:
        """Return its CPU, memory and descriptors (`figures`)."""
        return figures(self.process.pid)

    async def stop(self) -> int:
        """Stop it in order, or kill it after a time-out; return its exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()

    async def wait_until_listening(self, name: str) -> None:
        """Read the log until the agent listens; then go on reading it in the background.

        Raises:
            AgentError: It ended before.
        """
        stderr = self.process.stderr
        assert stderr is not None
        while b"listens on" not in (line := await stderr.readline()):
            if not line:
                raise AgentError(f"agent {name} did not start: {' '.join(self.log[-3:]) or 'it said nothing'}")
            self.log.append(line.decode().rstrip())
        self.port = int(line.rpartition(b":")[2])
        self._reader = asyncio.create_task(self._read_log(stderr))

    async def _read_log(self, stderr: asyncio.StreamReader) -> None:
        while line := await stderr.readline():
            if len(self.log) < MAX_LOG_LINES:
                self.log.append(line.decode().rstrip())


def run_command(descriptors: int) -> list[str]:
    """Return the command of deploy/balancer.toml, with this interpreter where the deployment has none of its own."""
    line = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])
    if not (ROOT / ".venv" / "bin" / "python").exists():
        line = line.replace(".venv/bin/python", shlex.quote(sys.executable))
    return ["/bin/sh", "-c", f"ulimit -n {descriptors}; {line}"]


async def start(
    scenario: Scenario, number: int, discovery: int, known: dict[str, Any], folder: Path, record: Path | None = None
) -> Agent:
    """Start an agent and return it once it listens.

    Args:
        scenario: What is played.
        number: Of the agent.
        discovery: The port of discovery.
        known: The list of servers that the agent starts with.
        folder: For its configuration.
        record: A folder for its recording; None: it does not record.

    Raises:
        AgentError: It did not start.
    """
    name = f"n{number}"
    config = folder / f"{name}.json"
    config.write_text(json.dumps(configuration(scenario, number, discovery, known)))
    env = {**os.environ, "RELAY_CONFIG": str(config)}
    if record is not None:
        operator = folder / f"{name}.toml"
        operator.write_text(recorder_section(record, name))
        env["LILACSILL_OPERATOR"] = str(operator)
    # A session of its own: Ctrl-C reaches the emulator, which then ends the agents in order.
    process = await asyncio.create_subprocess_exec(
        *run_command(scenario.load.sockets),
        cwd=ROOT,
        env=env,
        stdin=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
        start_new_session=True,
    )
    agent = Agent(process, 0)
    try:
        await agent.wait_until_listening(name)
    except BaseException:  # nobody else can stop the process yet
        await agent.stop()
        raise
    return agent
