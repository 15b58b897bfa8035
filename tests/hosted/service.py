"""The whole hosted service as a process, with scripted backends and a client of its API."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import httpx

from tests.agent.loopback import Conversation, Message, Peer, member, post, settings


def whole(revision: int, *members: dict[str, Any]) -> bytes:
    return json.dumps({"revision": revision, "complete": True, "members": members}).encode()


class Fleet:
    """One backend and its discovery, which tells the whole list at once and then nothing more."""

    def __init__(self, prompt: bool = True) -> None:
        self.backend, self.discovery = Peer(prompt), Peer()

    async def start(self) -> Fleet:
        await self.backend.start()
        await self.discovery.start()
        self._telling = asyncio.create_task(self._tell())
        return self

    async def _tell(self) -> None:
        while True:
            call = await self.discovery.requests.get()
            if "wait=" not in call.first or "index=0&" in call.first:
                await call.answer(200, whole(1, member("s0", self.backend.port)))

    async def stop(self) -> None:
        self._telling.cancel()
        await self.backend.stop()
        await self.discovery.stop()


def facts(**allowed: Any) -> dict[str, Any]:
    """The settings of a pool."""
    found = settings(**allowed)
    found.pop("tenants")
    return found


def pool_body(fleet: Fleet, **allowed: Any) -> dict[str, Any]:
    return {"discovery": f"127.0.0.1:{fleet.discovery.port}", "settings": facts(**allowed)}


class Hosted:
    """The service: its process, its API as the first operator, and its port for clients."""

    def __init__(self, folder: Path, workers: int = 1) -> None:
        self.folder, self.workers = folder, workers
        self.store = folder / "state.db"

    def _run(self, *arguments: str) -> list[str]:
        return [sys.executable, "-m", "lilacsill", *arguments]

    async def start(self, bootstrap: bool = True) -> None:
        operator = self.folder / "operator.toml"
        operator.write_text(
            f'[hosted]\nlisten = "127.0.0.1:0"\nadmin_listen = "127.0.0.1:0"\n'
            f'store = "{self.store}"\nworkers = {self.workers}\n'
        )
        if bootstrap:
            made = await asyncio.create_subprocess_exec(
                *self._run("store", "bootstrap", "--operator", str(operator)), stdout=asyncio.subprocess.PIPE
            )
            self.token = (await made.communicate())[0].decode().strip()
        self.process = await asyncio.create_subprocess_exec(
            *self._run("hosted", "--operator", str(operator), "--log-format", "text"),
            stderr=asyncio.subprocess.PIPE,
        )
        line = await self.line("serving on")
        found = re.search(r"serving on [^:]+:(\d+), administration on port (\d+)", line)
        assert found is not None
        self.port, self.admin = int(found[1]), int(found[2])
        self.api = httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{self.admin}",
            timeout=30,
            headers={"Authorization": f"Bearer {self.token}"},
        )

    async def line(self, part: str) -> str:
        assert self.process.stderr is not None
        while part.encode() not in (line := await self.process.stderr.readline()):
            assert line, "ended"
        return line.decode()

    async def pool(self, name: str, fleet: Fleet, **allowed: Any) -> None:
        made = await self.api.post("/v1/pools", json={"name": name, **pool_body(fleet, **allowed)})
        assert made.status_code == 201, made.text

    async def tenant(self, name: str, pool: str = "p", **spec: Any) -> str:
        """Returns the secret of its client credential."""
        made = await self.api.post("/v1/tenants", json={"name": name, "pool": pool, **spec})
        assert made.status_code == 201, made.text
        return await self.credential("client", name)

    async def credential(self, role: str, tenant: str | None = None) -> str:
        made = await self.api.post("/v1/credentials", json={"role": role, "tenant": tenant})
        assert made.status_code == 201, made.text
        return str(made.json()["secret"])

    async def client(self) -> Conversation:
        return Conversation(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, secret: str | None, **more: Any) -> Message:
        client = await self.client()
        try:
            await client.write(call(secret, **more))
            return await client.read()
        finally:
            client.close()

    async def stop(self) -> None:
        await self.api.aclose()
        self.process.send_signal(signal.SIGTERM)
        assert await self.process.wait() == 0

    def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signal.SIGKILL)


def call(secret: str | None, **more: Any) -> bytes:
    more = {"drop": ("Tenant",), **more}
    if secret:
        more["Authorization"] = f"Bearer {secret}"
    return post(**more)


@contextlib.asynccontextmanager
async def hosted(folder: Path, workers: int = 1) -> AsyncIterator[Hosted]:
    service = Hosted(folder, workers)
    async with asyncio.timeout(60):
        try:
            await service.start()
            yield service
            await service.stop()
        finally:
            service.kill()
