"""Fleets of real processes for tests: the rig, a discovery that says nothing, backends that answer at once."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from typing import Any

from lilacsill.emulator.processes.rig import Child, Rig, rig
from tests.agent.loopback import Conversation, Message, Peer, config_doc, member, post

HANG_S = 120  # a hang fails the test; nothing is timed by this
OPERATOR = """
[peers]
enabled = true
fleet = "test"
period_ms = 100
lease_ms = 500
"""

Told = dict[str, Any]
keys = count()  # of requests: no two are one


class Worker(Peer):
    """A backend that takes a while for each request."""

    def __init__(self, serve_s: float) -> None:
        super().__init__()
        self._serve_s = serve_s
        self._writing: set[asyncio.Task[None]] = set()

    async def start(self) -> Worker:
        await super().start()
        self._answering = asyncio.create_task(self._answer())
        return self

    async def _answer(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            message = await self.requests.get()
            if self._serve_s:
                loop.call_later(self._serve_s, self._done, message)
            else:
                await message.answer()

    def _done(self, message: Message) -> None:
        task = asyncio.create_task(message.answer())
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    async def stop(self) -> None:
        self._answering.cancel()
        await super().stop()


@asynccontextmanager
async def fleet(
    agents: int,
    folder: Path,
    backends: int = 0,
    started_s: int = 0,
    operator: str = OPERATOR,
    dead_for: Callable[[int, int], bool] = lambda agent, backend: False,
    begin: bool = True,
    serve_s: float = 0.0,
    **more: Any,
) -> AsyncIterator[Rig]:
    """All of them alive to each other. `dead_for`: what that agent is told of that backend leads nowhere.
    `started_s`: so long ago the backends started; 0: long ago. `serve_s`: what a
    request takes there. `more`: of the settings."""
    discovery = await Peer().start()
    peers = [await Worker(serve_s).start() for _ in range(backends)]
    nowhere = socket.socket()  # bound and not listening: nobody else gets that port, and who connects is refused
    nowhere.bind(("127.0.0.1", 0))
    up = int((time.time() - started_s) * 1000) if started_s else 0

    def config(number: int) -> Told:
        listed = [
            member(f"s{i}", nowhere.getsockname()[1] if dead_for(number, i) else p.port, up=up)
            for i, p in enumerate(peers)
        ]
        doc = config_doc(discovery.port, listed, peers=True)
        doc["name"] = f"n{number}"
        doc["settings"] |= {"siblings": agents, "me": number, **more}
        return doc

    try:
        async with asyncio.timeout(HANG_S), rig(agents, folder, config, operator) as r:
            if begin:
                children = [r.begin(n) for n in range(agents)]
                for child in children:
                    await r.ready(child)
                await met(r)
            yield r
    finally:
        for p in (discovery, *peers):
            await p.stop()
        nowhere.close()


async def until(r: Rig, number: int, done: Callable[[Told], bool], what: str = "peers") -> Told:
    """Ask that agent's door again and again, until it says so."""
    while not done(told := await r.peers(number, what)):
        pass
    return told


def states(told: Told) -> dict[int, str]:
    return {m["number"]: m["state"] for m in told["members"]}


async def met(r: Rig, numbers: set[int] | None = None) -> None:
    """All of those see all of those alive, and nobody else."""
    numbers = {c.number for c in r.running()} if numbers is None else numbers
    for n in sorted(numbers):
        await until(
            r,
            n,
            lambda t, n=n: (
                {k for k, v in states(t).items() if v == "alive"}  # type: ignore[misc]
                == numbers - {n}
            ),
        )


async def ask(child: Child, requests: int = 1) -> list[int]:
    """One after the other on one connection; the statuses."""
    client = Conversation(*await asyncio.open_connection("127.0.0.1", child.port))
    try:
        statuses = []
        for _ in range(requests):
            key = f"k{next(keys)}"
            await client.write(post(path=f"/api?obj={key}", Request_Id=key, Idempotency_Key=key))
            statuses.append((await client.read()).status)
        return statuses
    finally:
        client.close()


async def burst(child: Child, requests: int = 12) -> None:
    """All at once, so that no backend that is let in stays idle."""
    await asyncio.gather(*(ask(child) for _ in range(requests)))
