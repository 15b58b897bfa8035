"""The clients: an open loop of arrivals on real connections, with time-outs, retries of their own, and records."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from httptools import HttpParserError, HttpResponseParser

from ..models.judge import RequestRecord
from ..models.plan import Arrival, Plan, Storm

GRACE_S = 0.05
"""A client waits this much longer than its time-out, to see whether an answer comes too late."""
CLIENT_SHARE = 3
"""Clients open connections for at most one in so many of an agent's descriptors."""
MIN_PATIENCE_US = 10_000
"""A client does not try again with less time than this left."""
MAX_STORM_CONNECTIONS = 600
"""Connections of a storm that are open at once; beyond that the oldest one is closed."""
STORM_STEP_S = 0.01
OK = 200
NO_ANSWER = 0
"""The status of a try without an answer."""


@dataclass(slots=True, frozen=True)
class Response:
    """The answer to one try."""

    status: int
    """`NO_ANSWER` where the connection closed or the client stopped waiting."""
    retry_after_s: float
    """What the answer advises; 0 for no advice."""


NO_RESPONSE = Response(NO_ANSWER, 0.0)


@dataclass(slots=True)
class Outcome:
    """What became of an arrival with all its tries."""

    number: int
    """The index of the arrival in the plan."""
    arrival: Arrival
    at: int
    """When it was first sent, in microseconds since the run began."""
    latency_us: int = 0
    """The time to its last answer."""
    status: int = NO_ANSWER
    """The status of its last answer."""
    tries: int = 0
    in_time: bool = False


class ClientConnection(asyncio.Protocol):
    """A connection to an agent, which carries one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._parser = HttpResponseParser(self)
        self._fields: dict[bytes, bytes] = {}
        self._body = b""
        self.transport: asyncio.Transport | None = None
        self.requests = 0
        self.record: RequestRecord | None = None
        self.response: asyncio.Future[Response] | None = None
        self.open = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the close of a connection whose request has no answer."""
        self.open = False
        self._pool.discard(self)
        if self.record is not None and not self.record.answers:
            self.record.closed = self._pool.now()
        self._finish(NO_RESPONSE)

    def data_received(self, data: bytes) -> None:
        """Parse what the agent sends."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.close()

    def on_message_begin(self) -> None:
        """Begin an answer; called by the parser."""
        self._fields, self._body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; called by the parser."""
        self._fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Add to the body; called by the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Record the answer; called by the parser."""
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.open = False
        if self.record is not None:
            self.record.answers.append((self._pool.now(), status))
            if status == OK and self._body != b"done " + self.record.id.encode():
                self.record.right_body = False
        retry_after_s = 0.0
        with contextlib.suppress(ValueError):
            retry_after_s = float(self._fields.get(b"retry-after", b"0"))
        self._finish(Response(status, retry_after_s))

    def _finish(self, response: Response) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_result(response)

    def close(self) -> None:
        """Reset the connection."""
        self.open = False
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """The connections to one agent; a new one is opened when all are busy."""

    def __init__(self, port: int, max_connections: int, now: Callable[[], int], host: str = "127.0.0.1") -> None:
        self._host, self._port, self._max_connections, self.now = host, port, max_connections, now
        self._idle: list[ClientConnection] = []
        self._connections: set[ClientConnection] = set()
        self.opened = 0

    async def acquire(self) -> ClientConnection | None:
        """Return a connection; None where the pool is exhausted or nobody listens."""
        while self._idle:
            idle = self._idle.pop()
            if idle.open:
                return idle
        if len(self._connections) >= self._max_connections:
            return None
        connection = ClientConnection(self)
        self._connections.add(connection)
        self.opened += 1
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, self._host, self._port)
        except OSError:
            self._connections.discard(connection)
            return None
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it where the agent does not keep it alive."""
        if connection.open:
            self._idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: ClientConnection) -> None:
        """Forget a connection that was lost."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.close()


@dataclass(slots=True)
class Clients:
    """The clients of all agents, or of every `parts`-th agent from `part` on."""

    plan: Plan
    pools: list[Pool]
    """By agent."""
    now: Callable[[], int]
    """The time in microseconds since the run began."""
    rng: Random
    part: int = 0
    parts: int = 1
    records: list[RequestRecord] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    late_us: list[int] = field(default_factory=list)
    """How far each arrival was behind its schedule, which is the emulator's own fault."""
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, progress: Callable[[], None]) -> None:
        """Send every arrival at its time, whatever became of the earlier ones, and wait for the last answer.

        Args:
            progress: Called after each arrival.
        """
        for number, arrival in enumerate(self.plan.arrivals):
            if arrival.agent % self.parts != self.part:
                continue
            wait_us = arrival.at - self.now()
            if wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
            self.late_us.append(max(0, self.now() - arrival.at))
            task = asyncio.create_task(self._request(number, arrival))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            progress()
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def _request(self, number: int, arrival: Arrival) -> None:
        """Try until an answer is a 200, no retry remains, or the deadline is near."""
        load = self.plan.scenario.load
        request_class = self.plan.scenario.classes[arrival.request_class]
        outcome = Outcome(number, arrival, self.now())
        self.outcomes.append(outcome)
        deadline = outcome.at + int(request_class.deadline_ms * 1000)
        while outcome.tries <= load.retries:
            patience_us = deadline - self.now()
            if patience_us < MIN_PATIENCE_US:
                break
            outcome.tries += 1
            response = await self._try(number, outcome.tries - 1, arrival, patience_us)
            outcome.status, outcome.latency_us = response.status, self.now() - outcome.at
            if response.status == OK:
                outcome.in_time = outcome.latency_us <= request_class.aim_ms * 1000
                break
            wait_s = self._draw_backoff_s(response)
            await asyncio.sleep(min(wait_s, max(0.0, (deadline - self.now()) / 1e6)))

    def _draw_backoff_s(self, response: Response) -> float:
        load = self.plan.scenario.load
        wait_s = self.rng.uniform(*load.backoff_ms) / 1000
        if response.retry_after_s and self.rng.random() < load.honour:
            wait_s = max(wait_s, min(response.retry_after_s, load.retry_after_max_s))
        return wait_s

    async def _try(self, number: int, attempt: int, arrival: Arrival, patience_us: int) -> Response:
        pool = self.pools[arrival.agent]
        connection = await pool.acquire()
        if connection is None or connection.transport is None:
            return NO_RESPONSE
        record, head = self._prepare(number, attempt, arrival, patience_us // 1000)
        record.first_on_connection = connection.requests == 0
        connection.response = asyncio.get_running_loop().create_future()
        connection.record = record
        connection.requests += 1
        self.records.append(record)
        connection.transport.write(head)
        try:
            async with asyncio.timeout(patience_us / 1e6 + GRACE_S):
                response = await connection.response
        except TimeoutError:
            connection.close()
            return NO_RESPONSE
        if response.status != NO_ANSWER:
            pool.release(connection)
        return response

    def _prepare(self, number: int, attempt: int, arrival: Arrival, patience_ms: int) -> tuple[RequestRecord, bytes]:
        """Return the record of a try and the head of its request; a request has no body."""
        scenario = self.plan.scenario
        request_class, tenant = scenario.classes[arrival.request_class], scenario.tenants[arrival.tenant].name
        identity, key = f"{arrival.agent}.{number}.{attempt}", f"k{self.plan.seed}.{number}"
        effect = request_class.effect
        lines = [
            f"{'GET' if effect == 'safe' else 'POST'} /api?obj={number:x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {identity}",
            f"Request-Class: {request_class.name}",
            f"Tenant: {tenant}",
            f"Request-Timeout-Ms: {patience_ms}",
        ]
        if attempt and scenario.load.marks_retry:
            lines.append("Client-Retry: 1")
        if effect == "keyed":
            lines.append(f"Idempotency-Key: {key}")
        if effect != "safe":
            lines.append("Content-Length: 0")
        record = RequestRecord(
            id=identity,
            agent=arrival.agent,
            request_class=request_class.name,
            tenant=tenant,
            effect=effect,
            key=key,
            sent=self.now(),
            patience_us=patience_ms * 1000,
        )
        return record, ("\r\n".join(lines) + "\r\n\r\n").encode()


async def open_storm(address: tuple[str, int], storm: Storm, rate: int, now: Callable[[], int]) -> int:
    """Open connections that send nothing, and leave each open until the agent closes it.

    Args:
        address: Where the agent listens.
        storm: Says from when to when.
        rate: Connections a second to this agent.
        now: The time in microseconds since the run began.

    Returns:
        How many connections were opened.
    """
    loop = asyncio.get_running_loop()
    connections: list[socket.socket] = []
    opened = 0
    await asyncio.sleep(max(0.0, (storm.start - now()) / 1e6))
    while (at := now()) < storm.end:
        while opened < (at - storm.start) * rate / 1e6:
            connection = socket.socket()
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                connection.bind((f"127.99.{opened // 250 % 250}.{opened % 250 + 1}", 0))
                await loop.sock_connect(connection, address)
            connections.append(connection)
            opened += 1
            if len(connections) > MAX_STORM_CONNECTIONS:
                connections.pop(0).close()
        await asyncio.sleep(STORM_STEP_S)
    for connection in connections:
        connection.close()
    return opened
