"""A storm of strangers, in a process of its own: each connects from its own address once a second, asks once, keeps
what it gets for as long as it may, and comes again when it is turned away.

Prints one JSON line: how each visit was answered, and how long the answer took.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import socket
import sys
import time
from collections import Counter

HANGING_S = 1.0  # heard nothing for so long
GIVE_UP_S = 5.0


def percentile(values: list[float], share: float) -> float:
    """By nearest rank; 0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def request(number: str, tenant: str = "norvalle", timeout_ms: int = 2000) -> bytes:
    """A keyed request of the protocol page."""
    return (
        f"POST /api?obj=7f HTTP/1.1\r\nHost: a\r\nRequest-Id: {number}\r\nRequest-Class: "
        f"registro-servicio\r\nTenant: {tenant}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
        f"Idempotency-Key: {number}\r\n"
        "Content-Length: 3\r\n\r\njob"
    ).encode()


def address(number: int) -> str:
    """The address of a stranger."""
    return f"127.{100 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"


class Storm:
    """All strangers and what they heard."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._numbers = 0
        self.heard: Counter[str] = Counter()
        self.refused_s: list[float] = []
        self.hanging = 0
        self.late_s = 0.0  # behind the schedule; the storm itself may be too slow

    async def visit(self, source: str, until: float) -> None:
        """One connection; ends when the agent closes it or the storm is over."""
        sock = socket.socket()
        sock.setblocking(False)
        began = self._loop.time()
        self._numbers += 1
        try:
            sock.bind((source, 0))
            async with asyncio.timeout(GIVE_UP_S):
                await self._loop.sock_connect(sock, ("127.0.0.1", self._port))
                await self._loop.sock_sendall(sock, request(f"{self._port}-{source}-{self._numbers}"))
                data = await self._loop.sock_recv(sock, 4096)
            self._note(data.split()[1].decode() if data else "closed", self._loop.time() - began)
            if data.startswith(b"HTTP/1.1 200"):
                async with asyncio.timeout_at(until):
                    await self._loop.sock_recv(sock, 4096)  # held until the agent closes it
        except TimeoutError:
            if self._loop.time() < until - 0.001:
                self._note("nothing", GIVE_UP_S)
        except OSError:
            self._note("closed", self._loop.time() - began)
        finally:
            sock.close()

    def _note(self, what: str, took_s: float) -> None:
        self.heard[what] += 1
        self.hanging += took_s > HANGING_S
        if what in ("503", "closed"):
            self.refused_s.append(took_s)

    async def run(self, addresses: int, connections: int, seconds: float) -> None:
        """`connections` strangers spread over `addresses`, each once a second on an open-loop schedule."""
        began = self._loop.time()
        until = began + seconds
        busy: set[int] = set()
        tasks: set[asyncio.Task[None]] = set()

        async def one(number: int) -> None:
            await self.visit(address(number % addresses), until)
            busy.discard(number)

        for turn in range(int(seconds * connections)):
            due = began + turn / connections
            wait = due - self._loop.time()
            self.late_s = max(self.late_s, -wait)
            if wait > 0:
                await asyncio.sleep(wait)
            number = turn % connections
            if number not in busy:
                busy.add(number)
                task = asyncio.create_task(one(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)


async def storm(port: int, addresses: int, connections: int, seconds: float) -> dict[str, object]:
    s = Storm(port)
    cpu = time.process_time()
    await s.run(addresses, connections, seconds)
    return {
        "heard": s.heard,
        "visits": sum(s.heard.values()),
        "hanging": s.hanging,
        "refuse_p50_ms": round(1000 * percentile(s.refused_s, 0.5), 2),
        "refuse_p99_ms": round(1000 * percentile(s.refused_s, 0.99), 2),
        "late_ms": round(1000 * s.late_s, 1),
        "cpu_share": round((time.process_time() - cpu) / seconds, 2),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description="A storm of strangers.")
    parser.add_argument("port", type=int)
    parser.add_argument("--addresses", type=int, default=2000)
    parser.add_argument("--connections", type=int, default=2000)
    parser.add_argument("--seconds", type=float, default=10.0)
    a = parser.parse_args()
    print(json.dumps(asyncio.run(storm(a.port, a.addresses, a.connections, a.seconds))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
