"""Many clients from many addresses of loopback, each on a socket of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket

from tests.agent.loopback import KEYED, post

STRANGERS = (f"127.{a}.{b}.{c}" for a, b, c in itertools.product(range(100, 200), range(250), range(1, 250)))
_ids = itertools.count(1)


def strangers(count: int) -> list[str]:
    """So many addresses that no one has used before."""
    return list(itertools.islice(STRANGERS, count))


def request(cls: str = KEYED) -> bytes:
    """One with an id of its own."""
    return post(cls, Request_Id=f"storm-{next(_ids)}")


async def connect(port: int, source: str) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind((source, 0))
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return sock


async def answer(sock: socket.socket) -> bytes:
    """What comes first, b"" for a close or reset."""
    try:
        return await asyncio.get_running_loop().sock_recv(sock, 65536)
    except ConnectionError:
        return b""


async def send(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(ConnectionError):  # it was refused already
        await asyncio.get_running_loop().sock_sendall(sock, data)


def outcome(data: bytes) -> str:
    return data.split()[1].decode() if data else "closed"


async def visit(port: int, source: str, asks: bool = True, hold: asyncio.Event | None = None, cls: str = KEYED) -> str:
    """Connect, ask once, read the first thing that comes, and keep the connection while `hold` is not set.
    Returns the status, or "closed"."""
    try:
        sock = await connect(port, source)
    except ConnectionError:
        return "closed"
    try:
        if asks:
            await send(sock, request(cls))
        first = await answer(sock)
        if hold is not None:
            await hold.wait()
        return outcome(first)
    finally:
        sock.close()


async def storm(
    port: int,
    sources: list[str],
    at_once: int = 300,
    asks: bool = True,
    hold: asyncio.Event | None = None,
    cls: str = KEYED,
) -> list[str]:
    """All of them visit; returns how each was answered."""
    turn = asyncio.Semaphore(at_once)

    async def one(source: str) -> str:
        async with turn:
            return await visit(port, source, asks, hold, cls)

    return await asyncio.gather(*(one(s) for s in sources))
