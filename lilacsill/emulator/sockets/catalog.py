"""Discovery on real sockets: complete lists and watches, at a limited rate, delayed, and down at times."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

from httptools import HttpParserError, HttpRequestParser

from ..models.judge import NotificationRecord, PollRecord
from ..models.plan import SECOND, Notice, Plan
from .listener import Listener, ServerConnection

CALL_LINES = 20
"""The fixed cost of a call, in lines of a list."""
TIMEOUT_US = 2_000_000
"""A call that would wait longer for capacity is rejected."""
MAX_WATCH_MS = 60_000
IDLE_CHECK_S = 0.5
"""How often the task that notifies watches checks for notices when there are none left."""
MIN_SLEEP_S = 0.0005
MACHINES_PER_SUBNET = 250

Address = tuple[int, int, int]
"""A machine, the index among its ports, and the side of the agents that use it."""


def host(machine: int) -> str:
    """Return the IP address of a machine."""
    return f"127.77.{machine // MACHINES_PER_SUBNET}.{machine % MACHINES_PER_SUBNET + 1}"


class Catalog:
    """What discovery knows, by the plan's notices; one for all agents."""

    def __init__(
        self,
        plan: Plan,
        ports: Mapping[Address, int],
        now: Callable[[], int],
        began_unix_ms: int,
        notifications: list[NotificationRecord],
    ) -> None:
        """Create the state of discovery.

        Args:
            plan: Gives the notices and outages.
            ports: The port at each address.
            now: The time in microseconds since the run began.
            began_unix_ms: The wall clock when the run began.
            notifications: Gets a record whenever an agent is told that a server drains or is gone.
        """
        self.plan, self.now, self._ports = plan, now, ports
        self.began_unix_ms = began_unix_ms
        self.notifications = notifications
        self.polls: list[PollRecord] = []
        self.free_at = 0
        """When the next call can be served."""
        self._changed = asyncio.Condition()
        self.revision = 0
        self.connections: set[CatalogConnection] = set()

    def update_revision(self) -> int:
        """Return the revision as of now: the number of notices that are known."""
        notices = self.plan.notices
        while self.revision < len(notices) and notices[self.revision].at <= self.now():
            self.revision += 1
        return self.revision

    async def notify_watches(self) -> None:
        """Wake up the watches whenever a notice becomes known; never returns."""
        while True:
            if self.update_revision() < len(self.plan.notices):
                wait_us = self.plan.notices[self.revision].at - self.now()
                await asyncio.sleep(max(MIN_SLEEP_S, wait_us / 1e6))
                async with self._changed:
                    self._changed.notify_all()
            else:
                await asyncio.sleep(IDLE_CHECK_S)

    def is_down(self) -> bool:
        """Return whether discovery is in an outage."""
        now = self.now()
        return any(outage.start <= now < outage.end for outage in self.plan.outages)

    async def reset_at_outages(self) -> None:
        """Reset all connections at the beginning of each outage."""
        for outage in sorted(self.plan.outages, key=lambda outage: outage.start):
            await asyncio.sleep(max(0.0, (outage.start - self.now()) / 1e6))
            for connection in list(self.connections):
                connection.reset()

    async def wait_for_capacity(self, lines: int) -> bool:
        """Wait until a call with so many lines is served; return False at once where that takes too long."""
        now = self.now()
        cost_us = int((CALL_LINES + lines) / self.plan.scenario.fleet.lines_per_s * SECOND)
        done = max(now, self.free_at) + cost_us
        if done - now > TIMEOUT_US:
            return False
        self.free_at = done
        await asyncio.sleep((done - now) / 1e6)
        return True

    def listing(self, since: int | None, agent: int = 0) -> dict[str, Any]:
        """Return what discovery answers, with the addresses that this agent uses.

        Args:
            since: The revision from which changes are listed; None: the complete list.
            agent: The number of the agent.
        """
        revision = self.update_revision()
        latest: dict[str, Notice] = {}
        for notice in self.plan.notices[since or 0 : revision]:
            latest[self.plan.incarnations[notice.incarnation].id] = notice
        side = self.plan.side(agent)
        members = [
            self._member(notice, side) for notice in latest.values() if since is not None or notice.phase != "DELETED"
        ]
        return {"revision": revision, "complete": since is None, "members": members}

    async def wait_for_change(self, since: int, timeout_us: int) -> None:
        """Wait for a revision above `since`, at most for the time-out."""
        try:
            async with asyncio.timeout(timeout_us / 1e6), self._changed:
                await self._changed.wait_for(lambda: self.update_revision() > since)
        except TimeoutError:
            pass

    def record_notifications(self, agent: int, since: int | None, revision: int) -> None:
        """Record that an agent was told of all servers that drain or are gone in these revisions."""
        for notice in self.plan.notices[since or 0 : revision]:
            if notice.phase != "SERVING":
                incarnation = self.plan.incarnations[notice.incarnation]
                server = f"{incarnation.id}#{notice.incarnation}"
                self.notifications.append(NotificationRecord(agent, server, self.now()))

    def _member(self, notice: Notice, side: int) -> dict[str, Any]:
        incarnation = self.plan.incarnations[notice.incarnation]
        started_unix_ms = 0 if incarnation.start < 0 else self.began_unix_ms + incarnation.start // 1000
        return {
            "id": incarnation.id,
            "host_port": f"{host(incarnation.machine)}:{self._ports[incarnation.machine, incarnation.port, side]}",
            "locality": "a",
            "flavor": "m",
            "cell": 0,
            "phase": notice.phase,
            "size": 1.0,
            "up_since_ms": started_unix_ms,
        }


class CatalogConnection(ServerConnection):
    """A connection of one agent, which is known by the listener that it came to."""

    def __init__(self, catalog: Catalog, agent: int, listener: Listener) -> None:
        super().__init__(listener)
        self._catalog, self._agent = catalog, agent
        self._parser = HttpRequestParser(self)
        self._url = b""
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection; during an outage, reset it and record the attempt as a poll."""
        super().connection_made(transport)
        if self._catalog.is_down():
            now = self._catalog.now()
            self._catalog.polls.append(PollRecord(self._agent, now, now))
            self.reset()
            return
        self._catalog.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel a watch that still waits."""
        super().connection_lost(exc)
        self._catalog.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what the agent sends."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.reset()

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Add to the URL; called by the parser."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer the request; called by the parser."""
        self._task = asyncio.get_running_loop().create_task(self._record_poll(self._url.decode("latin-1")))

    async def _record_poll(self, url: str) -> None:
        poll = PollRecord(self._agent, self._catalog.now())
        self._catalog.polls.append(poll)
        try:
            await self._answer(url)
        finally:
            poll.ended = self._catalog.now()

    async def _answer(self, url: str) -> None:
        catalog = self._catalog
        query = parse_qs(url.partition("?")[2])
        since = int(query["index"][0]) if "index" in query else None
        if since is not None and not 0 <= since <= catalog.update_revision():
            since = None  # the revision is of an earlier run of discovery
        if since is not None:
            wait_ms = min(MAX_WATCH_MS, int(query.get("wait", ["0"])[0]))
            await catalog.wait_for_change(since, wait_ms * 1000)
        listing = catalog.listing(since, self._agent)
        if not await catalog.wait_for_capacity(len(listing["members"])):
            self.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        await self.listener.wait_for_egress()  # a notification behind a partition does not count
        body = json.dumps(listing).encode()
        catalog.record_notifications(self._agent, since, listing["revision"])
        self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
