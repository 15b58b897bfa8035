"""Scripted peers on loopback, and an agent between them. The system picks the ports; tests wait on events."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, ClassVar

from lilacsill.address import Address
from lilacsill.agent.admission.settings import AdmissionSettings, DescriptorBudget, ConnectionTimeouts
from lilacsill.agent.agent import Agent
from lilacsill.clock import Clock
from lilacsill.agent.config import Config, load
from lilacsill.agent.inbound.server import SWEEP_S, Server
from lilacsill.agent.assembly import assemble

KEYED, UNSAFE = "registro-servicio", "vale-almacen"
LOAD = b"inflight=0,queue=0,util=0.1"


def settings(**allowed: Any) -> dict[str, Any]:
    """Settings as a deployment states them; probes are off unless asked for."""
    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": 5_000_000,
            "connectTimeoutUs": 250_000,
            "maxAttempts": 5,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "secondCopies": False,
            **allowed,
        },
        "profiles": [
            {
                "name": KEYED,
                "aimUs": 20_000_000,
                "deadlineUs": 30_000_000,
                "repeat": "dedup",
                "dedupScope": "all",
                "memorySpanUs": 15_000_000,
                "value": 10.0,
            },
            {
                "name": UNSAFE,
                "aimUs": 20_000_000,
                "deadlineUs": 30_000_000,
                "repeat": "fragile",
                "value": 3.0,
            },
        ],
        "tenants": [{"name": "norvalle", "quotaPerS": 0.0, "share": 1.0}],
        "report": {"columns": ["inflight", "queue", "util"], "source": "inline"},
        "rules": {
            "startCapacity": 0.13,
            "warmUpUs": 24_000_000,
            "fallMultiple": 2.5,
            "tipAfterUs": 3_000_000,
            "graceToAnswerUs": 5000,
        },
        "siblings": 1,
        "registryMode": "ask",
        "quantumUs": 1000,
        "localities": ["a"],
        "skus": ["m"],
    }


def member(name: str, port: int, phase: str = "SERVING", up: int = 0) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "a",
        "flavor": "m",
        "cell": 1,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up,
    }


@dataclass
class Message:
    """A request as a peer got it, or an answer as a client got it."""

    first: str
    headers: dict[str, str]
    body: bytes
    peer: Conversation

    async def answer(self, status: int = 200, body: bytes = b"done", **headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        await self.peer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


class Conversation:
    """Either end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.over: asyncio.Event | None = None  # set at the end, where a peer reads from it

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> Message:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}
        if headers.get("transfer-encoding") == "chunked":
            return Message(head[0], headers, await self.chunks(), self)
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return Message(head[0], headers, body, self)

    async def chunks(self) -> bytes:
        """The body of a message of unknown length; its pieces carry nothing but themselves."""
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        assert await self.reader.readexactly(2) == b"\r\n"
        return body

    async def ended(self) -> None:
        """Wait until the other side has closed or reset the connection."""
        if self.over is not None:
            await self.over.wait()
            return
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(65536):
                pass

    def reset(self) -> None:
        self.writer.transport.abort()

    def shut(self) -> None:
        """Close it in the kernel now, without a turn of the loop."""
        self.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def told_of_close(self) -> bool:
        """Whether the kernel knows now that the other side has closed."""
        with self.writer.get_extra_info("socket").dup() as s, contextlib.suppress(BlockingIOError):
            return not s.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False

    def close(self) -> None:
        self.writer.close()


class Peer:
    """A server whose requests the test answers one by one, but for probes; or all at once where `prompt`."""

    def __init__(self, prompt: bool = False) -> None:
        self.prompt = prompt
        self.requests: asyncio.Queue[Message] = asyncio.Queue()
        self.connections = 0
        self.reached = asyncio.Event()  # by a connection

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.reached.set()
        conversation = Conversation(reader, writer)
        conversation.over = asyncio.Event()
        try:
            while True:
                message = await conversation.read()
                if message.first.startswith("GET /_load"):
                    await message.answer(200, LOAD)
                elif self.prompt:
                    await message.answer()
                else:
                    self.requests.put_nowait(message)
        except (asyncio.IncompleteReadError, ConnectionError):
            conversation.over.set()
        finally:
            writer.close()

    async def stop(self) -> None:
        self.server.close()


def post(
    cls: str = KEYED,
    body: bytes = b"job",
    timeout_ms: str = "30000",
    drop: tuple[str, ...] = (),
    path: str = "/api?obj=7f3a",
    **headers: str,
) -> bytes:
    """A request of the application; headers by name with _ for -."""
    fields = {
        "Host": "origin.svc",
        "Request-Id": "9b1f",
        "Request-Class": cls,
        "Tenant": "norvalle",
        "Request-Timeout-Ms": timeout_ms,
        "Content-Length": str(len(body)),
    }
    if cls == KEYED:
        fields["Idempotency-Key"] = "5c0f"
    fields |= {k.replace("_", "-"): v for k, v in headers.items()}
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if k not in drop)
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def config_doc(discovery: int, members: list[dict[str, Any]], **allowed: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(**allowed),
        "known": {"revision": 41, "complete": True, "members": members},
    }


def shared(descriptors: int, refusing: int = 0) -> DescriptorBudget:
    """So many for clients and backends together, and nothing else held."""
    transit = 16
    return DescriptorBudget(descriptors + transit + refusing, 0, set_apart=0, refusals=refusing, closing=transit)


@dataclass
class World:
    """An agent, its backends and its discovery."""

    agent: Agent
    server: Server
    port: int
    discovery: Peer
    backends: list[Peer]
    clients: list[Conversation] = field(default_factory=list)

    async def client(self, source: str | None = None) -> Conversation:
        client = Conversation(
            *await asyncio.open_connection("127.0.0.1", self.port, local_addr=(source, 0) if source else None)
        )
        self.clients.append(client)
        return client

    async def ask(self, request: bytes, source: str | None = None) -> Conversation:
        client = await self.client(source)
        await client.write(request)
        return client

    async def request(self) -> Message:
        """The next request that reaches any backend."""
        for b in self.backends:
            if not b.requests.empty():
                return b.requests.get_nowait()
        waiting = [asyncio.create_task(b.requests.get()) for b in self.backends]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            got = [(b, t.result()) for b, t in zip(self.backends, waiting, strict=True) if t.done()]
            for b, message in got[1:]:  # they came in the same turn
                b.requests.put_nowait(message)
            return got[0][1]
        finally:
            for task in waiting:  # one left waiting would swallow a later request
                task.cancel()

    def nothing_sent(self) -> bool:
        return all(b.requests.empty() for b in self.backends)


def load_config(folder: Path, doc: dict[str, Any], clock: Clock) -> Config:
    path = folder / "config.json"
    path.write_text(json.dumps(doc))
    return load({"RELAY_CONFIG": str(path)}, clock)


@contextlib.asynccontextmanager
async def world(
    folder: Path,
    backends: int = 1,
    budget: DescriptorBudget | None = None,
    times: ConnectionTimeouts | None = None,
    sweep_s: float = SWEEP_S,
    admission: AdmissionSettings | None = None,
    host: str = "127.0.0.1",
    **allowed: Any,
) -> AsyncIterator[World]:
    """Everything up and listening; all of it ends with the block."""
    discovery = await Peer().start()
    peers = [await Peer().start() for _ in range(backends)]
    doc = config_doc(discovery.port, [member(f"s{i}", p.port) for i, p in enumerate(peers)], **allowed)
    clock = Clock()
    config = load_config(folder, doc, clock)
    if budget is not None:
        config = replace(config, sockets=budget.limit)
    parts = assemble(config, clock, times, 0, sweep_s, admission, budget)
    agent, server = parts.agent, parts.server
    agent.start(config.known)
    port = server.listen(Address(host, 0))
    w = World(agent, server, port, discovery, peers)
    try:
        async with asyncio.timeout(60):  # a hang fails the test; nothing is timed by this
            yield w
    finally:
        for client in w.clients:
            client.close()
        server.stop()
        for peer in [discovery, *peers]:
            await peer.stop()


class Running:
    """The agent as a process, and the lines of its log."""

    started: ClassVar[list[Running]] = []

    def __init__(self, folder: Path) -> None:
        self._path = folder / "config.json"
        self.door = 0  # the port of the operators' door
        self.seen: list[str] = []  # lines of the log that were read

    def write(self, text: str) -> None:
        fresh = self._path.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self._path)

    async def start(
        self,
        doc: dict[str, Any],
        operator: str | None = None,
        listener: socket.socket | None = None,
        **more: str,
    ) -> None:
        """`listener`: the one that it inherits; `more`: of its environment."""
        self.write(json.dumps(doc))
        # The environment names the first discovery for as long as the process lives.
        env = {**os.environ, "RELAY_CONFIG": str(self._path), "RELAY_DISCOVERY": doc["discovery"], **more}
        descriptors = () if listener is None else (listener.fileno(),)
        if listener is not None:
            env["RELAY_LISTEN_FD"] = str(listener.fileno())
        arguments: list[str] = []
        if operator is not None:
            self.operator(operator)
            arguments = ["--operator", str(self._path.with_name("operator.toml"))]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lilacsill",
            *arguments,
            env=env,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=descriptors,
        )
        Running.started.append(self)
        if "RELAY_ADMIN_ADDR" in env:
            self.door = int((await self.line("answers operators on")).rpartition(":")[2])
        if listener is None:
            self.port = int((await self.line("listens on")).rpartition(":")[2])

    def operator(self, text: str) -> None:
        self._path.with_name("operator.toml").write_text(text)

    async def line(self, part: str) -> str:
        assert self.process.stderr is not None
        while part.encode() not in (line := await self.process.stderr.readline()):
            assert line, "ended"
            self.seen.append(line.decode())
        return line.decode()

    async def client(self) -> Conversation:
        return Conversation(*await asyncio.open_connection("127.0.0.1", self.port))

    def end(self) -> None:
        """At once, if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)

    async def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        assert await self.process.wait() == 0
