"""Discovery on real sockets: whole list and watch, limited lines a second, calls in turn, late, and down at times."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from httptools import HttpParserError, HttpRequestParser

from ..models.judge import PollRecord, NotificationRecord
from ..models.plan import Notice, Plan
from .listener import Listener, Wire

CALL_LINES = 20  # fixed cost of a call
TIMEOUT_US = 2_000_000  # a call that would wait longer is turned away
SECOND = 1_000_000


class Catalog:
    """What discovery knows, by the plan's notices; one for all agents. `ports` by machine, address and side."""

    def __init__(
        self,
        plan: Plan,
        ports: dict[tuple[int, int, int], int],
        now: Callable[[], int],
        unix_ms: int,
        notifications: list[NotificationRecord],
    ) -> None:
        self.plan, self.now, self._ports, self._unix_ms = plan, now, ports, unix_ms
        self.notifications = notifications
        self.polls: list[PollRecord] = []
        self._free = 0  # when the next call can be worked on
        self._changed = asyncio.Condition()
        self.revision = 0
        self.links: set[Link] = set()

    def due(self) -> int:
        """The revision as of now: the number of notices that are known."""
        while self.revision < len(self.plan.notices) and self.plan.notices[self.revision].at <= self.now():
            self.revision += 1
        return self.revision

    async def keep_up(self) -> None:
        """Wake the watches when something becomes known."""
        while True:
            if self.due() < len(self.plan.notices):
                wait_us = self.plan.notices[self.revision].at - self.now()
                await asyncio.sleep(max(0.0005, wait_us / 1e6))
                async with self._changed:
                    self._changed.notify_all()
            else:
                await asyncio.sleep(0.5)

    def down(self) -> bool:
        now = self.now()
        return any(w.start <= now < w.end for w in self.plan.outages)

    async def outages(self) -> None:
        """When it goes down its connections are reset."""
        for w in sorted(self.plan.outages, key=lambda w: w.start):
            await asyncio.sleep(max(0.0, (w.start - self.now()) / 1e6))
            for link in list(self.links):
                link.end()

    async def turn(self, lines: int) -> bool:
        """Wait in turn for so many lines. False: it would take too long."""
        now = self.now()
        cost = int((CALL_LINES + lines) / self.plan.scenario.fleet.lines_per_s * SECOND)
        done = max(now, self._free) + cost
        if done - now > TIMEOUT_US:
            return False
        self._free = done
        await asyncio.sleep((done - now) / 1e6)
        return True

    def listing(self, since: int | None, agent: int = 0) -> dict[str, Any]:
        """The whole list, or what has changed since a revision, with the addresses that this agent has."""
        revision = self.due()
        last: dict[str, Notice] = {}
        for n in self.plan.notices[since or 0 : revision]:
            last[self.plan.incarnations[n.incarnation].id] = n
        side = self.plan.side(agent)
        entries = [self._entry(n, side) for n in last.values() if since is not None or n.phase != "DELETED"]
        return {"revision": revision, "complete": since is None, "members": entries}

    async def wait(self, since: int, wait_us: int) -> None:
        """Until there is something newer."""
        try:
            async with asyncio.timeout(wait_us / 1e6), self._changed:
                await self._changed.wait_for(lambda: self.due() > since)
        except TimeoutError:
            pass

    def told(self, agent: int, since: int | None, revision: int) -> None:
        """Written to an agent: who drains or is gone counts as told from now on."""
        for n in self.plan.notices[since or 0 : revision]:
            if n.phase != "SERVING":
                x = self.plan.incarnations[n.incarnation]
                self.notifications.append(NotificationRecord(agent, f"{x.id}#{n.incarnation}", self.now()))

    def _entry(self, n: Notice, side: int) -> dict[str, Any]:
        x = self.plan.incarnations[n.incarnation]
        up = 0 if x.start < 0 else self._unix_ms + x.start // 1000
        return {
            "id": x.id,
            "host_port": f"{host(x.machine)}:{self._ports[x.machine, x.port, side]}",
            "locality": "a",
            "flavor": "m",
            "cell": 0,
            "phase": n.phase,
            "size": 1.0,
            "up_since_ms": up,
        }


def host(machine: int) -> str:
    """The address of a machine."""
    return f"127.77.{machine // 250}.{machine % 250 + 1}"


class Link(Wire):
    """A connection of one agent, known by the port that it came to."""

    def __init__(self, catalog: Catalog, agent: int, listener: Listener) -> None:
        super().__init__(listener)
        self._catalog, self._agent = catalog, agent
        self._parser = HttpRequestParser(self)
        self._url = b""
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._catalog.down():
            now = self._catalog.now()
            self._catalog.polls.append(PollRecord(self._agent, now, now))  # it has tried
            self.end()
            return
        self._catalog.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._catalog.links.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.end()

    def on_message_begin(self) -> None:
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._answer(self._url.decode("latin-1")))

    async def _answer(self, url: str) -> None:
        ask = PollRecord(self._agent, self._catalog.now())
        self._catalog.polls.append(ask)
        try:
            await self._tell(url)
        finally:
            ask.ended = self._catalog.now()

    async def _tell(self, url: str) -> None:
        catalog = self._catalog
        query = parse_qs(url.partition("?")[2])
        since = int(query["index"][0]) if "index" in query else None
        if since is not None and not 0 <= since <= catalog.due():
            since = None  # of another life
        if since is not None:
            await catalog.wait(since, min(60_000, int(query.get("wait", ["0"])[0])) * 1000)
        listing = catalog.listing(since, self._agent)
        if not await catalog.turn(len(listing["members"])):
            self.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        await self.listener.clear()  # nothing is told through a link that is cut
        body = json.dumps(listing).encode()
        catalog.told(self._agent, since, listing["revision"])
        self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
