"""Passes datagrams between agents through one process that can lose, delay and duplicate them.

Run as ``python -m lilacsill.emulator.processes.relay AGENTS SEED``.

The relay keeps the addressing that agents expect: agent j is reached at the j-th address of `peers`, and what it sends
comes from its own address there. So there is one socket for each agent, and the relay knows a sender by its address.

The process prints one line with the addresses, then reads commands as JSON lines and answers each with one line:
{"rules": [...]} replaces all rules; {"stats": 1} returns datagrams and bytes that each agent has sent so far.
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

from ..models.faults import NEVER
from ..models.links import Links, Rule

MAX_BURST = 256
"""Datagrams that are read from one socket before the others get their chance."""
MAX_DATAGRAM_BYTES = 2048
RECEIVE_BUFFER_BYTES = 1 << 20
INPUT_LIMIT_BYTES = 1 << 24
AGENTS_PER_SUBNET = 250


def host(number: int) -> str:
    """Return an IP address of its own for each agent, so that a port that was free stays free."""
    return f"127.88.{number // AGENTS_PER_SUBNET}.{number % AGENTS_PER_SUBNET + 1}"


def now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


def parse_rule(rule: dict[str, Any]) -> Rule:
    """Parse a rule of a command.

    Args:
        rule: `from` and `to` are lists of numbers of agents; `in_s` and `len_s` are seconds from now on.
    """
    start_us = now_us() + int(float(rule.get("in_s", 0)) * 1e6)
    return Rule(
        start_us=start_us,
        end_us=start_us + int(float(rule["len_s"]) * 1e6) if "len_s" in rule else NEVER,
        sources=frozenset(rule["from"]),
        destinations=frozenset(rule["to"]),
        bidirectional=bool(rule.get("both", True)),
        partitioned=bool(rule.get("cut", False)),
        loss=float(rule.get("loss", 0.0)),
        delay_us=(int(rule.get("median_ms", 0) * 1000), int(rule.get("p99_ms", 0) * 1000)),
        duplicated=float(rule.get("twice", 0.0)),
    )


class Relay:
    """All sockets; datagrams of agent i to agent j arrive at the socket of j and leave from the socket of i."""

    def __init__(self, agents: int, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.links = Links([], Random(f"{seed} relay"))
        self.sent = [[0, 0] for _ in range(agents)]
        """Datagrams and bytes, by agent."""
        self.listens = [_free_address(host(number)) for number in range(agents)]
        """Where the agents will bind."""
        self._numbers = {address: number for number, address in enumerate(self.listens)}
        self._sockets: list[socket.socket] = []
        for number in range(agents):
            agent_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            agent_socket.setblocking(False)
            agent_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            agent_socket.bind(("127.0.0.1", 0))
            self._sockets.append(agent_socket)
            self._loop.add_reader(agent_socket, self._read, number)

    @property
    def peers(self) -> list[str]:
        """The address at which each agent is reached by the others."""
        return [f"127.0.0.1:{agent_socket.getsockname()[1]}" for agent_socket in self._sockets]

    def _read(self, destination: int) -> None:
        for _ in range(MAX_BURST):
            try:
                data, address = self._sockets[destination].recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # the kernel reports that an agent which is gone refused a datagram
            source = self._numbers.get(address)
            if source is None:
                continue
            self.sent[source][0] += 1
            self.sent[source][1] += len(data)
            for delay_us in self.links.copies(now_us(), source, destination):
                if delay_us:
                    self._loop.call_later(delay_us / 1e6, self._deliver, source, destination, data)
                else:
                    self._deliver(source, destination, data)

    def _deliver(self, source: int, destination: int, data: bytes) -> None:
        if self.links.is_partitioned(now_us(), source, destination):
            return  # it was in transit when the partition began
        with suppress(OSError):
            self._sockets[source].sendto(data, self.listens[destination])

    def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute a command and return the answer."""
        if "rules" in command:
            self.links.rules = [parse_rule(rule) for rule in command["rules"]]
            return {"rules": len(self.links.rules)}
        return {"sent": self.sent}


def _free_address(ip: str) -> tuple[str, int]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((ip, 0))
        return ip, int(probe.getsockname()[1])


async def run(agents: int, seed: int) -> int:
    """Relay until the standard input ends; return the exit status."""
    relay = Relay(agents, seed)
    reader = asyncio.StreamReader(limit=INPUT_LIMIT_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    listens = [f"{ip}:{port}" for ip, port in relay.listens]
    print(json.dumps({"peers": relay.peers, "listens": listens}), flush=True)
    while line := await reader.readline():
        print(json.dumps(relay.execute(json.loads(line))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run(int(sys.argv[1]), int(sys.argv[2]))))
