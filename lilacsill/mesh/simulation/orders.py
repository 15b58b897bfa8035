"""The orders of a day, many under way at once.

Most are proper whatever becomes of the others. Some are not: rivals for one number, what was overtaken, what is
invalid.

Orders on shared routes stand alone. Orders that depend on each other (a route takes the place of another, a service is
named first and dropped later) go one after the other on a lane that owns its names.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from .callers import Call, World
from .history import ROUTE, Nature, Order, values_of_call
from .network import MS
from .store_fleet import put, route

AT_ONCE = 8
LANES = 3
SHARED = 6
TWICE = 0.15  # of orders are sent to two machines at once
RECENT = 8
Body = dict[str, Any]


class Request(msgspec.Struct, frozen=True):
    """Something that an operator does. What exactly is drawn from its own seed."""

    what: str  # shared, lane, again, rival, late_rival, stale, invalid
    at_ms: int
    seed: int


class Lane:
    """Routes at one place, and a service, that no other order names. One order at a time."""

    def __init__(self, number: int) -> None:
        self.prefix, self.service = f"/lane{number}/", f"lane{number}"
        self._names = (f"lane{number}-a", f"lane{number}-b")
        self._current = ""
        self._with_service = False
        self.busy = False

    def next(self, version: int, rng: Random) -> Body:
        """The call that changes what stands now."""
        name = self._current or rng.choice(self._names)
        kind = rng.choice(("set", "swap", "drop", "service"))
        if kind == "drop" and self._current:
            self._current = ""
            return put([], [(name, version)])
        drops: list[tuple[str, int]] = []
        if kind == "swap" and self._current:
            drops = [(name, version)]
            name = self._names[1 - self._names.index(name)]
        self._current = name
        return self._set(name, version, drops, kind == "service", rng)

    def _set(self, name: str, version: int, drops: list[tuple[str, int]], service: bool, rng: Random) -> Body:
        """With `service`: its own service is made and named, or no longer named and dropped."""
        if service:
            self._with_service = not self._with_service
        rule = route(name, version, self.prefix, self.service if self._with_service else "s")
        rule["Then"]["TimeoutMs"] = rng.randrange(1, 5000)
        body = put([rule], drops)
        if service and self._with_service:
            body["ReplaceItems"]["Groups"] = [
                {"Name": self.service, "ConfigVersion": f"r{version}", "HealthPath": "/h", "MaxConnections": 9}
            ]
        elif service:
            body.setdefault("RemoveItems", {})["ServiceList"] = [{"Name": self.service, "ConfigVersion": f"r{version}"}]
        return body


class Orders:
    """Makes and sends them."""

    def __init__(self, world: World) -> None:
        self._world, self._time = world, world.time
        self._machine = world.machine("operator")
        self._version = 1
        self._lanes = [Lane(i) for i in range(LANES)]
        self._shared = [f"route{i}" for i in range(SHARED)]
        self._used: set[tuple[str, int]] = set()
        self._bodies: dict[int, tuple[Order, bytes]] = {}
        self._taken: list[int] = []  # numbers of acknowledged orders, the latest last
        self._open = 0
        self._waiting: list[Request] = []
        self._does: dict[str, Callable[[Random], None]] = {
            "shared": self._on_shared,
            "lane": self._on_lane,
            "again": self._repeat,
            "rival": self._rivals,
            "late_rival": self._late_rival,
            "stale": self._stale,
            "invalid": self._invalid,
        }

    @property
    def taken(self) -> int:
        """How many were acknowledged."""
        return len(self._taken)

    @property
    def open(self) -> int:
        """How many are under way or wait."""
        return self._open + len(self._waiting)

    def first(self) -> None:
        """The call that has everything, as on a first day."""
        rules = [route(name, 1, f"/{name}/") for name in self._shared]
        self._send(put(rules, first=True), Nature.PROPER)

    def do(self, request: Request) -> None:
        """Send an order, or let it wait while many are under way."""
        if self._open >= AT_ONCE:
            self._waiting.append(request)
        else:
            self._does[request.what](Random(request.seed))

    def meet(self, address: str) -> None:
        """A change goes to that machine first."""
        self._shared_change(Random(self._version), address)

    def race(self, seed: int) -> None:
        """Send two orders for one number at once."""
        self._rivals(Random(seed))

    # Sending

    def _next_version(self, rng: Random) -> int:
        self._version += rng.randrange(1, 4)
        return self._version

    def _send(
        self, body: Body, nature: Nature, to: str = "", done: Callable[[], None] = lambda: None, raw: bytes = b""
    ) -> None:
        order = Order(self._world.history.number(), nature, {} if raw else values_of_call(body))
        data = raw or msgspec.json.encode(body)
        for (_, name), (version, _) in order.values.items():
            self._used.add((name, version))
        self._bodies[order.number] = (order, data)
        self._call(order, data, to, done)
        if self._world.rng.random() < TWICE:
            self._call(order, data)

    def _call(self, order: Order, data: bytes, to: str = "", done: Callable[[], None] = lambda: None) -> None:
        def ended(status: int) -> None:
            self._open -= 1
            if status == 200 and order.number not in self._taken:
                self._taken.append(order.number)
            done()
            if self._waiting:
                self.do(self._waiting.pop(0))

        self._open += 1
        Call(self._world, self._machine, order, data, ended).send(to)

    # What they do

    def _on_shared(self, rng: Random) -> None:
        self._shared_change(rng)

    def _shared_change(self, rng: Random, to: str = "") -> None:
        self._send(self._change(rng.choice(self._shared), self._next_version(rng), rng), Nature.PROPER, to)

    def _change(self, name: str, version: int, rng: Random) -> Body:
        """Of one shared route: proper whatever else is in force."""
        if rng.random() < 0.2:
            return put([], [(name, version)])
        rule = route(name, version, f"/{name}/")
        rule["Then"]["TimeoutMs"] = rng.randrange(1, 1_000_000)
        return put([rule])

    def _on_lane(self, rng: Random) -> None:
        lane = rng.choice(self._lanes)
        if lane.busy:
            self._time.after(200 * MS, self._on_lane, rng)
            return

        def done() -> None:
            lane.busy = False

        lane.busy = True
        self._send(lane.next(self._next_version(rng), rng), Nature.PROPER, done=done)

    def _repeat(self, rng: Random) -> None:
        """An order that was acknowledged, exactly as it was."""
        if self._taken:
            order, data = self._bodies[rng.choice(self._taken)]
            self._call(order, data)

    def _rivals(self, rng: Random) -> None:
        """Two contents for one number, at once."""
        name, version = rng.choice(self._shared), self._next_version(rng)
        for _ in range(2):
            self._send(self._change(name, version, rng), Nature.RIVAL)

    def _late_rival(self, rng: Random) -> None:
        """Another content for a number that is taken, also one that has been overtaken since."""
        taken = [(key, value) for n in self._taken[-RECENT:] for key, value in self._bodies[n][0].values.items()]
        shared = [(key[1], version) for key, (version, _) in taken if key[0] == ROUTE and key[1] in self._shared]
        if shared:
            name, version = rng.choice(shared)
            self._send(self._change(name, version, rng), Nature.RIVAL)

    def _stale(self, rng: Random) -> None:
        """A number that was never used, below one that is taken."""
        known = {
            key[1]: version
            for n in self._taken
            for key, (version, _) in self._bodies[n][0].values.items()
            if key[1] in self._shared
        }
        below = [(name, v) for name, high in known.items() for v in range(2, high) if (name, v) not in self._used]
        if below:
            name, version = rng.choice(below)
            self._send(self._change(name, version, rng), Nature.STALE)

    def _invalid(self, rng: Random) -> None:
        """A good half and a bad one, or what cannot be read."""
        version = self._next_version(rng)
        name = rng.choice(self._shared)
        good, bad = route(name, version, f"/{name}/"), route(f"bad{version}", version, f"/bad{version}/")
        kind = rng.choice(("unknown_service", "no_weight", "odd_kind", "same_place", "below_zero", "cut_short"))
        if kind == "unknown_service":
            bad["Then"]["TargetService"] = "nobody"
        elif kind == "no_weight":
            bad["Then"] = {"TrafficSplit": [{"TargetService": "s", "Share": 0}], "TimeoutMs": 9, "MaxTries": 1}
        elif kind == "below_zero":
            split = [{"TargetService": "s", "Share": -1}, {"TargetService": "s", "Share": 2}]
            bad["Then"] = {"TrafficSplit": split, "TimeoutMs": 9, "MaxTries": 1}
        elif kind == "odd_kind":
            bad["RouteKind"] = "odd"
        elif kind == "same_place":
            bad["When"]["PathPrefix"] = f"/{name}/"
        body = put([good, bad])
        raw = msgspec.json.encode(body)[: -rng.randrange(1, 40)] if kind == "cut_short" else b""
        self._send(body, Nature.INVALID, raw=raw)
