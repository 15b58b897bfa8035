"""The clients: an open loop of arrivals on real connections, deadlines, retries of their own, and their books."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from httptools import HttpParserError, HttpResponseParser

from ..models.judge import RequestRecord
from ..models.plan import Arrival, Plan

GIVE_UP_SLACK_S = 0.05  # a client waits so much longer, to see whether an answer comes too late
SHARE = 3  # clients hold a third of an agent's descriptors at most


@dataclass(slots=True)
class Outcome:
    """What became of an arrival, all its tries counted."""

    number: int  # of the arrival, in the plan
    arrival: Arrival
    at: int  # when it was first sent, on the run's clock
    latency_us: int = 0  # to its last answer
    status: int = 0  # of its last answer, 0: none came
    tries: int = 0
    in_time: bool = False


class Connection(asyncio.Protocol):
    """A connection to an agent; one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._parser = HttpResponseParser(self)
        self._fields: dict[bytes, bytes] = {}
        self._body = b""
        self.transport: asyncio.Transport | None = None
        self.requests = 0
        self.book: RequestRecord | None = None
        self.answered: asyncio.Future[tuple[int, float]] | None = None  # status and advice, 0 for a close
        self.open = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._pool.lost(self)
        if self.book is not None and not self.book.answers:
            self.book.closed = self._pool.now()
        self._end(0, 0.0)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.close()

    def on_message_begin(self) -> None:
        self._fields, self._body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.open = False
        if self.book is not None:
            self.book.answers.append((self._pool.now(), status))
            if status == 200 and self._body != b"done " + self.book.id.encode():
                self.book.right_body = False
        advice = 0.0
        with contextlib.suppress(ValueError):
            advice = float(self._fields.get(b"retry-after", b"0"))
        self._end(status, advice)

    def _end(self, status: int, advice: float) -> None:
        if self.answered is not None and not self.answered.done():
            self.answered.set_result((status, advice))

    def close(self) -> None:
        self.open = False
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """The connections to one agent: kept, and more opened when all are busy."""

    def __init__(self, port: int, most: int, now: Callable[[], int], host: str = "127.0.0.1") -> None:
        self._host, self._port, self._most, self.now = host, port, most, now
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()
        self.opened = 0

    async def take(self) -> Connection | None:
        """None: there is no room, or nobody listens."""
        while self._idle:
            c = self._idle.pop()
            if c.open:
                return c
        if len(self._all) >= self._most:
            return None
        c = Connection(self)
        self._all.add(c)
        self.opened += 1
        try:
            await asyncio.get_running_loop().create_connection(lambda: c, self._host, self._port)
        except OSError:
            self._all.discard(c)
            return None
        return c

    def give_back(self, c: Connection) -> None:
        if c.open:
            self._idle.append(c)
        else:
            c.close()

    def lost(self, c: Connection) -> None:
        self._all.discard(c)

    def close(self) -> None:
        for c in list(self._all):
            c.close()


@dataclass(slots=True)
class Clients:
    """The clients of all agents, or of every `parts`-th agent from `part` on."""

    plan: Plan
    pools: list[Pool]  # by agent
    now: Callable[[], int]
    rng: Random
    part: int = 0
    parts: int = 1
    books: list[RequestRecord] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    late_us: list[int] = field(default_factory=list)  # behind the schedule: the emulator's own fault
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, progress: Callable[[int], None]) -> None:
        """Send every arrival at its time, whatever became of those before."""
        for number, arrival in enumerate(self.plan.arrivals):
            if arrival.agent % self.parts != self.part:
                continue
            wait_us = arrival.at - self.now()
            if wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
            self.late_us.append(max(0, self.now() - arrival.at))
            task = asyncio.create_task(self._ask(number, arrival))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            progress(number)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def _ask(self, number: int, arrival: Arrival) -> None:
        s = self.plan.scenario
        cls = s.classes[arrival.request_class]
        outcome = Outcome(number, arrival, self.now())
        self.outcomes.append(outcome)
        end = outcome.at + int(cls.deadline_ms * 1000)
        while outcome.tries <= s.load.retries:
            left_us = end - self.now()
            if left_us < 10_000:
                break
            outcome.tries += 1
            status, advice_s = await self._try(number, outcome.tries - 1, arrival, left_us)
            outcome.status, outcome.latency_us = status, self.now() - outcome.at
            if status == 200:
                outcome.in_time = outcome.latency_us <= cls.aim_ms * 1000
                break
            wait_s = self.rng.uniform(*s.load.backoff_ms) / 1000
            if advice_s and self.rng.random() < s.load.honour:
                wait_s = max(wait_s, min(advice_s, s.load.retry_after_max_s))
            await asyncio.sleep(min(wait_s, max(0.0, (end - self.now()) / 1e6)))

    async def _try(self, number: int, attempt: int, arrival: Arrival, patience_us: int) -> tuple[int, float]:
        s = self.plan.scenario
        cls, tenant = s.classes[arrival.request_class], s.tenants[arrival.tenant].name
        pool = self.pools[arrival.agent]
        c = await pool.take()
        if c is None or c.transport is None:
            return 0, 0.0
        patience_ms = patience_us // 1000
        identity, key = f"{arrival.agent}.{number}.{attempt}", f"k{self.plan.seed}.{number}"
        lines = [
            f"{'GET' if cls.effect == 'safe' else 'POST'} /api?obj={number:x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {identity}",
            f"Request-Class: {cls.name}",
            f"Tenant: {tenant}",
            f"Request-Timeout-Ms: {patience_ms}",
        ]
        if attempt and s.load.marks_retry:
            lines.append("Client-Retry: 1")
        if cls.effect == "keyed":
            lines.append(f"Idempotency-Key: {key}")
        if cls.effect != "safe":
            lines.append("Content-Length: 0")
        c.answered = asyncio.get_running_loop().create_future()
        c.book = RequestRecord(
            identity,
            arrival.agent,
            cls.name,
            tenant,
            cls.effect,
            key,
            self.now(),
            patience_ms * 1000,
            first_on_connection=c.requests == 0,
        )
        c.requests += 1
        self.books.append(c.book)
        c.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            async with asyncio.timeout(patience_us / 1e6 + GIVE_UP_SLACK_S):
                status, advice = await c.answered
        except TimeoutError:
            c.close()
            return 0, 0.0
        if status:
            pool.give_back(c)
        return status, advice


async def storm(address: tuple[str, int], start: int, end: int, rate: int, now: Callable[[], int]) -> int:
    """Connections that say nothing and are held until the agent closes them. Returns how many there were."""
    loop = asyncio.get_running_loop()
    held: list[socket.socket] = []
    made = 0
    await asyncio.sleep(max(0.0, (start - now()) / 1e6))
    while (at := now()) < end:
        while made < (at - start) * rate / 1e6:
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.bind((f"127.99.{made // 250 % 250}.{made % 250 + 1}", 0))
                await loop.sock_connect(sock, address)
            held.append(sock)
            made += 1
            if len(held) > 600:
                held.pop(0).close()
        await asyncio.sleep(0.01)
    for sock in held:
        sock.close()
    return made
