"""Proxies that watch each other, and two registries, in virtual time: how soon a death is known, who is suspected.

The neighbours and the directories are the product's own; a proxy asks both registries every 0.6 s, as a long poll does.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacsill.mesh.proxy.failure_detector import FailureDetector, with_incarnations
from lilacsill.mesh.registry.directory import Directory
from lilacsill.mesh.runtime.messages import (
    Endpoint,
    IndirectPing,
    IndirectPingReply,
    Message,
    Ping,
    Suspect,
    SuspicionReport,
)

from .network import MS, SECOND, Machine, Net

ASK_US, STEP_US = 600 * MS, 250 * MS


class ProxyModel:
    """One proxy's process."""

    def __init__(self, street: Street, number: int) -> None:
        self.street, self.node, self.address = street, f"n{number}", f"10.2.0.{number}:1"
        self.machine = street.net.machines[self.address] = Machine(street.net, self.address, MS)
        self.machine.begin()
        self.endpoint = Endpoint(self.node, 1, 1, f"10.2.0.{number}", 1, "z", "s", f"i{number}", "ready", 8, 0)
        self.neighbours = FailureDetector(self.machine, self.node, self._others, self._send)
        handlers: dict[type, Callable[[Any, Callable[[Message], None]], None]] = {
            Ping: lambda m, reply: reply(IndirectPingReply(True)),
            IndirectPing: self.neighbours.indirect_ping,
        }
        self.machine.handlers = handlers
        self.machine.after(street.net.rng.randrange(500 * MS), self.neighbours.start)
        self.machine.after(street.net.rng.randrange(ASK_US), self._ask)

    def _others(self) -> dict[str, str]:
        directory = self.street.directories[0]
        return {
            n: p.address
            for n, p in self.street.proxies.items()
            if n != self.node and (n not in directory.entries or directory.entries[n].endpoint is not None)
        }

    def _ask(self) -> None:
        self.machine.after(ASK_US, self._ask)
        self._send()

    def _send(self) -> None:
        missing = with_incarnations(self.neighbours.suspects, dict.fromkeys(self.street.proxies, 1))
        for directory in self.street.directories:
            self.street.net.carry(self.address, "registries", lambda b=directory: self._report(b, missing))  # type: ignore[misc]

    def _report(self, directory: Directory, missing: list[Suspect]) -> None:
        now = self.street.net.time.now
        directory.update(self.endpoint, now)
        for node, run_number in missing:
            directory.report_unreachable(SuspicionReport(node, run_number, self.node), now)
        self.street.check(directory)


class Street:
    """So many proxies."""

    def __init__(self, count: int, seed: int) -> None:
        self.net = Net(seed, 500)
        self.directories = [Directory(), Directory()]
        self.proxies: dict[str, ProxyModel] = {}
        self.known: dict[str, int] = {}  # node: when it was first held dead
        for number in range(count):
            proxy = ProxyModel(self, number)
            self.proxies[proxy.node] = proxy
        self._step()
        self.net.time.run(self.net.time.now + 3 * SECOND)

    def _step(self) -> None:
        for directory in self.directories:
            self.check(directory)
        self.net.time.after(STEP_US, self._step)

    def check(self, directory: Directory) -> None:
        """Have a registry remove what has failed, and record what it removes."""
        directory.remove_failed(self.net.time.now)
        for node, entry in directory.entries.items():
            if entry.endpoint is None:
                self.known.setdefault(node, self.net.time.now)

    def dies(self, node: str) -> int:
        """Microseconds until somebody holds it dead; its machine goes dark."""
        self.proxies[node].machine.end(power=True)
        began = self.net.time.now
        while node not in self.known:
            self.net.time.run(self.net.time.now + 10 * MS)
        return self.known[node] - began
