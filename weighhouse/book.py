"""The items of the configuration, by kind and name: a version each, and the number that the chain gave the change.

Copies need no log: of two states of one name that of the higher number is the later one, so that what a copy lacks is
told by its number alone. No I/O.
"""
from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from guild.messages import Item

ROUTE, SERVICE, LIMITS = "route", "service", "limits"


class Book:
    """What one copy holds. Dropped names stay, with their version."""

    def __init__(self) -> None:
        self.items: dict[tuple[str, str], Item] = {}
        self.seq = 0

    def apply(self, items: Iterable[Item], seq: int, fill: bool = False) -> None:
        """`fill`: these are all that there are."""
        if fill:
            self.items.clear()
        for item in items:
            held = self.items.get((item.kind, item.name))
            if held is None or held.seq <= item.seq:
                self.items[item.kind, item.name] = item
        self.seq = seq if fill else max(self.seq, seq)

    def since(self, seq: int) -> list[Item]:
        """What was set or dropped by later calls; of the whole, what was dropped, too: the one who asks may serve
        others that have yet to drop it."""
        return [i for i in self.items.values() if i.seq > seq]

    def all(self) -> list[Item]:
        return list(self.items.values())

    def version(self, kind: str, name: str) -> int:
        """-1: never named."""
        item = self.items.get((kind, name))
        return -1 if item is None else item.version

    def standing(self, kind: str) -> dict[str, Any]:
        """The bodies by name, read."""
        return {i.name: msgspec.json.decode(i.body) for i in self.items.values()
                if i.kind == kind and i.body is not None}

    def layout(self) -> bytes:
        """The configuration whole, laid out as in an operator's first call."""
        hosts: dict[str, list[Any]] = {}
        for body in self.standing(ROUTE).values():
            hosts.setdefault(body["Host"], []).append(body["Rule"])
        whole: dict[str, Any] = {}
        limits = self.standing(LIMITS)
        if limits:
            whole["Limits"] = limits[""]
        whole["Listeners"] = [{"Host": host, "Policy": rules} for host, rules in hosts.items()]
        whole["Groups"] = list(self.standing(SERVICE).values())
        return msgspec.json.encode(whole)
