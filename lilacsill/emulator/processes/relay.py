"""Datagrams between agents through one process that can lose them.

Run as ``python -m lilacsill.emulator.processes.relay AGENTS SEED``.

It keeps the addressing that agents are promised: agent j is reached at the j-th address of `peers`, and what it sends
comes from its own address there. So there is one socket for each agent, and the sender is known by where it sends from.

Prints one line with the addresses, then reads commands as JSON lines and answers each with one line:
{"rules": [...]} takes the place of all rules; {"stats": 1} tells datagrams and bytes that each agent has sent so far.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from contextlib import suppress
from random import Random
from typing import Any

from ..models.links import Links, Rule

BURST = 256


def host(number: int) -> str:
    """An address of its own for each agent, so that a port that was free stays so."""
    return f"127.88.{number // 250}.{number % 250 + 1}"


def now() -> int:
    return time.monotonic_ns() // 1000


def rule_of(doc: dict[str, Any]) -> Rule:
    """`from` and `to` are lists of numbers or names of sides; times in seconds from now on."""
    start = now() + int(float(doc.get("in_s", 0)) * 1e6)
    end = start + int(float(doc["len_s"]) * 1e6) if "len_s" in doc else 2**62
    return Rule(
        start,
        end,
        frozenset(doc["from"]),
        frozenset(doc["to"]),
        bool(doc.get("both", True)),
        bool(doc.get("cut", False)),
        float(doc.get("loss", 0.0)),
        (int(doc.get("median_ms", 0) * 1000), int(doc.get("p99_ms", 0) * 1000)),
        float(doc.get("twice", 0.0)),
    )


class Relay:
    """All sockets; datagrams of agent i to agent j go in at j's and out at i's."""

    def __init__(self, agents: int, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.links = Links([], Random(f"{seed} relay"))
        self.sent = [[0, 0] for _ in range(agents)]
        self.listens = [_free(host(n)) for n in range(agents)]  # where the agents will bind
        self._numbers = {address: n for n, address in enumerate(self.listens)}
        self._sockets: list[socket.socket] = []
        for n in range(agents):
            s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            s.setblocking(False)
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            s.bind(("127.0.0.1", 0))
            self._sockets.append(s)
            self._loop.add_reader(s, self._read, n)

    @property
    def peers(self) -> list[str]:
        return [f"127.0.0.1:{s.getsockname()[1]}" for s in self._sockets]

    def _read(self, to: int) -> None:
        for _ in range(BURST):
            try:
                data, source = self._sockets[to].recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:
                continue  # an agent that is gone refuses what was sent to it
            by = self._numbers.get(source)
            if by is None:
                continue
            self.sent[by][0] += 1
            self.sent[by][1] += len(data)
            for delay in self.links.copies(now(), by, to):
                if delay:
                    self._loop.call_later(delay / 1e6, self._deliver, by, to, data)
                else:
                    self._deliver(by, to, data)

    def _deliver(self, by: int, to: int, data: bytes) -> None:
        if self.links.is_partitioned(now(), by, to):
            return  # it was on its way when the link was cut
        with suppress(OSError):
            self._sockets[by].sendto(data, self.listens[to])

    def command(self, doc: dict[str, Any]) -> dict[str, Any]:
        if "rules" in doc:
            self.links.rules = [rule_of(r) for r in doc["rules"]]
            return {"rules": len(self.links.rules)}
        return {"sent": self.sent}


def _free(at: str) -> tuple[str, int]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.bind((at, 0))
        return at, int(s.getsockname()[1])


async def run(agents: int, seed: int) -> int:
    relay = Relay(agents, seed)
    reader = asyncio.StreamReader(limit=1 << 24)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print(json.dumps({"peers": relay.peers, "listens": [f"{h}:{p}" for h, p in relay.listens]}), flush=True)
    while line := await reader.readline():
        print(json.dumps(relay.command(json.loads(line))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run(int(sys.argv[1]), int(sys.argv[2]))))
