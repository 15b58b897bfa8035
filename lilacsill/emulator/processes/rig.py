"""A test rig of many agents as processes, with the relay between them; everything ends with its block."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .pipe import Pipe, PipeError

MAX_LINES = 2000
"""Lines of a log that are kept, the first ones."""
FORK_SERVER = "lilacsill.emulator.processes.fork_server"
RELAY = "lilacsill.emulator.processes.relay"

ConfigOf = Callable[[int], dict[str, Any]]
"""Makes the configuration of an agent, by its number."""


class RigError(PipeError):
    """The rig itself failed; the message says how."""


@dataclass
class AgentProcess:
    """One process under one agent's number."""

    number: int
    pid: int = 0
    port: int = 0
    """For clients."""
    admin_port: int = 0
    lines: list[str] = field(default_factory=list)
    """Its log."""
    status: int | None = None
    """The exit status; None: it runs."""
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_until(self, done: Callable[[], bool]) -> None:
        """Wait until a condition on the log or the status holds."""
        while not done():
            self._changed.clear()
            await self._changed.wait()

    async def wait_for_line(self, part: str) -> str:
        """Wait for a line of the log that contains a text, and return the first one.

        Raises:
            RigError: The process ended without such a line.
        """

        def find() -> str | None:
            return next((line for line in self.lines if part in line), None)

        await self.wait_until(lambda: find() is not None or self.status is not None)
        line = find()
        if line is None:
            raise RigError(f"agent {self.number} ended with {self.status}: {' | '.join(self.lines[-3:])}")
        return line

    async def wait_for_end(self) -> int:
        """Wait for the end of the process and return its exit status."""
        await self.wait_until(lambda: self.status is not None)
        assert self.status is not None
        return self.status

    def handle(self, message: dict[str, Any]) -> None:
        """Take over what the fork server reports of this process."""
        if "line" in message:
            if len(self.lines) < MAX_LINES:
                self.lines.append(message["line"])
        elif "exit" in message:
            self.status = message["exit"]
        else:
            self.pid = message["pid"]
        self._changed.set()

    def send_signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.status is None and self.pid:
            with suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def cpu_us(self) -> float:
        """Return the CPU time so far in microseconds (/proc/PID/schedstat, in nanoseconds)."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]) / 1000


class Rig:
    """Agents by number."""

    def __init__(
        self,
        fork_server: Pipe,
        relay: Pipe,
        addresses: dict[str, Any],
        folder: Path,
        config: ConfigOf,
        operator: str,
        descriptors: int,
    ) -> None:
        """Create a rig without agents; `rig` starts its processes.

        Args:
            fork_server: Starts the agents.
            relay: Passes datagrams between them.
            addresses: What the relay printed: `listens`, where each agent binds, and `peers`, where it sends to.
            folder: For the files of the agents.
            config: Makes the configurations.
            operator: The text of the operator file, with NUMBER for an agent's number; empty: none.
            descriptors: The limit of each agent.
        """
        self._fork_server, self._relay, self._folder = fork_server, relay, folder
        self.addresses, self._config, self._operator, self._descriptors = addresses, config, operator, descriptors
        self.agents: dict[int, AgentProcess] = {}
        self._by_name: dict[str, AgentProcess] = {}
        self._starts = 0

    async def forward(self) -> None:
        """Pass on what the fork server reports, until it ends."""
        while (message := await self._fork_server.receive()) is not None:
            self._by_name[message["name"]].handle(message)

    def begin(self, number: int, **env: str) -> AgentProcess:
        """Start a process under a number; it may not serve yet.

        Args:
            number: Of the agent.
            **env: Further environment variables.
        """
        config = self._config(number)
        config |= {
            "peer_listen": self.addresses["listens"][number],
            "peers": self.addresses["peers"],
            "listen": config.get("listen", "127.0.0.1:0"),
            "admin_addr": "127.0.0.1:0",
        }
        path = self._folder / f"n{number}.json"
        path.write_text(json.dumps(config))
        arguments = []
        if self._operator:
            operator = self._folder / f"n{number}.toml"
            operator.write_text(self._operator.replace("NUMBER", str(number)))
            arguments = ["--operator", str(operator)]
        temporary = self._folder / f"tmp{number}"
        temporary.mkdir(exist_ok=True)
        self._starts += 1
        name = f"n{number}.{self._starts}"
        process = self._by_name[name] = self.agents[number] = AgentProcess(number)
        self._fork_server.send(
            {
                "start": name,
                "argv": arguments,
                "sockets": self._descriptors,
                "env": {"RELAY_CONFIG": str(path), "TMPDIR": str(temporary), **env},
            }
        )
        return process

    async def start(self, number: int, **env: str) -> AgentProcess:
        """Start a process and wait until it serves.

        Raises:
            RigError: It ended before.
        """
        process = self.begin(number, **env)
        await self.wait_ready(process)
        return process

    async def wait_ready(self, process: AgentProcess) -> None:
        """Wait until a process serves clients and operators.

        Raises:
            RigError: It ended before.
        """
        process.admin_port = int((await process.wait_for_line("answers operators on")).rpartition(":")[2])
        process.port = int((await process.wait_for_line("listens on")).rpartition(":")[2])

    async def kill(self, number: int) -> None:
        """Kill an agent and wait for its end."""
        self.agents[number].send_signal(signal.SIGKILL)
        await self.agents[number].wait_for_end()

    def stall(self, number: int, stalled: bool) -> None:
        """Stop an agent, or let it continue."""
        self.agents[number].send_signal(signal.SIGSTOP if stalled else signal.SIGCONT)

    async def set_rules(self, rules: list[dict[str, Any]]) -> None:
        """Replace all rules between agents (`relay.parse_rule`); they hold on return."""
        await self._relay.request({"rules": rules})

    async def sent(self) -> list[tuple[int, int]]:
        """Return the datagrams and bytes that each agent has sent so far."""
        sent = (await self._relay.request({"stats": 1}))["sent"]
        return [(datagrams, size) for datagrams, size in sent]

    def running(self) -> list[AgentProcess]:
        """List the agents that run."""
        return [process for process in self.agents.values() if process.status is None and process.pid]

    async def peers(self, number: int, what: str = "peers") -> dict[str, Any]:
        """Return what an agent answers operators on its peers.

        Raises:
            OSError: It does not answer, or with an error.
        """
        return await call_admin(self.agents[number].admin_port, f"/-/{what}")


async def call_admin(port: int, path: str, method: str = "GET") -> dict[str, Any]:
    """Make an operator's HTTP call and return the body.

    Raises:
        OSError: The agent does not answer, or with an error.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
        head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
    finally:
        writer.close()
    if not head.startswith(b"HTTP/1.1 2"):
        raise OSError(f"{path}: {head[:40]!r} {body.decode()}")
    answer: dict[str, Any] = json.loads(body)
    return answer


@asynccontextmanager
async def rig(
    agents: int,
    folder: Path,
    config: ConfigOf,
    operator: str = "",
    seed: int = 1,
    descriptors: int = 512,
) -> AsyncIterator[Rig]:
    """Provide a rig whose agents do not run yet; all processes end with the block.

    Args:
        agents: The number of agents.
        folder: For the files of the agents.
        config: Makes the configurations.
        operator: The text of the operator file, with NUMBER for an agent's number; empty: none.
        seed: Of the relay's draws.
        descriptors: The limit of each agent.

    Raises:
        RigError: The relay did not start.
    """
    fork_server = await Pipe.open(FORK_SERVER)
    relay = await Pipe.open(RELAY, str(agents), str(seed))
    forwarding: asyncio.Task[None] | None = None
    running: list[AgentProcess] = []
    try:
        addresses = await relay.receive()
        if addresses is None:
            raise RigError("the relay did not start")
        made = Rig(fork_server, relay, addresses, folder, config, operator, descriptors)
        forwarding = asyncio.create_task(made.forward())
        try:
            yield made
        finally:
            running = [process for process in made.agents.values() if process.status is None]
    finally:
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        await fork_server.end()
        await relay.end()
        if forwarding is not None:
            await forwarding
