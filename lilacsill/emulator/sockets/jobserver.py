"""A job server on real sockets: the platform's protocol round `lilacsill.emulator.models.server`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from httptools import HttpParserError, HttpRequestParser

from ..models.judge import AttemptRecord
from ..models.plan import Incarnation, Plan, Window
from ..models.server import FOREVER, Job, JobServer, RepeatMemory
from .listener import Listener, ServerConnection

MALFORMED = b"HTTP/1.1 2x0 \xff\r\nContent-Length: x\r\n\r\n"
"""What a server sends for a malformed answer."""
IDLE_CHECK_S = 0.25
"""How often a server closes connections that are idle for too long."""
Now = Callable[[], int]
"""Returns the time in microseconds since the run began."""


class JobConnection(ServerConnection):
    """One connection of an agent, which carries one request at a time."""

    def __init__(self, server: EmulatedServer, listener: Listener) -> None:
        super().__init__(listener)
        self.server = server
        self._parser = HttpRequestParser(self)
        self._url = b""
        self._fields: dict[bytes, bytes] = {}
        self._requests = 0
        self.record: AttemptRecord | None = None
        """The record of the request in flight."""
        self.used_at = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reset it where the server has as many as it may."""
        super().connection_made(transport)
        self.used_at = self.server.now()
        if len(self.server.connections) >= self.server.plan.scenario.fleet.connections:
            self.reset()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the agent closed; the work goes on."""
        super().connection_lost(exc)
        self.server.connections.discard(self)
        self._record_close()

    def eof_received(self) -> None:
        """Record that the agent half-closed; the work goes on."""
        self._record_close()

    def _record_close(self) -> None:
        if self.record is not None:
            if self.record.closed is None:
                self.record.closed = self.server.now()
            self.record = None

    def data_received(self, data: bytes) -> None:
        """Parse what the agent sends."""
        if self.server.silent:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            assert self.transport is not None
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self._url, self._fields = b"", {}

    def on_url(self, url: bytes) -> None:
        """Add to the URL; called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; called by the parser."""
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        """Pass the request or probe to the server; called by the parser."""
        self.used_at = self.server.now()
        self._requests += 1
        if self._url in (b"/ping", b"/_load"):
            self.server.handle_probe(self, self._url == b"/_load")
        else:
            self.server.handle_request(self, self._fields, self._requests == 1)

    def write(self, status: bytes, load: bytes, body: bytes = b"", fields: bytes = b"") -> None:
        """Send an answer with a load report; `fields` are further header lines, each with its end of line."""
        self.send(
            b"HTTP/1.1 %s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, load, fields, len(body), body)
        )


@dataclass(slots=True, frozen=True)
class _Execution:
    """A job in the model, with the connection that waits for its answer."""

    connection: JobConnection
    record: AttemptRecord


class EmulatedServer:
    """One incarnation of a server, from its start to its stop."""

    def __init__(
        self,
        plan: Plan,
        index: int,
        addresses: Sequence[tuple[str, int]],
        memory: RepeatMemory,
        now: Now,
        attempts: list[AttemptRecord],
        fallen: list[tuple[int, str]],
        delays_us: list[int],
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            plan: Describes the server.
            index: Of its incarnation in the plan.
            addresses: One for each side of the agents.
            memory: The keys that have run, common to all servers.
            now: The run's clock.
            attempts: Gets a record of each attempt.
            fallen: Gets the time and the label of a server that goes down under load while cold.
            delays_us: Gets how long after its time each job was answered, which is the emulator's own delay.
        """
        self.plan, self.index, self.now = plan, index, now
        self.incarnation: Incarnation = plan.incarnations[index]
        self.label = f"{self.incarnation.id}#{index}"
        self._memory = memory
        self._attempts, self._fallen, self._delays_us = attempts, fallen, delays_us
        self._rng = Random(f"{plan.seed} server {index}")
        self.connections: set[JobConnection] = set()
        self.silent = False
        """Whether it reads and answers nothing any more."""
        self.listeners = [Listener(lambda listener: JobConnection(self, listener), address) for address in addresses]
        self._model: JobServer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._executions: dict[int, _Execution] = {}  # by id() of the job

    @property
    def listening(self) -> bool:
        """Whether any of its addresses is bound."""
        return any(listener.listening for listener in self.listeners)

    async def start(self) -> None:
        """Listen, with an empty model.

        Raises:
            OSError: An address cannot be bound.
        """
        incarnation = self.incarnation
        spec = replace(self.plan.spec, speed=self.plan.speeds[incarnation.machine])
        spans = list(incarnation.spans)
        self._model = JobServer(spec, self.now(), incarnation.cold, spans, self._memory, self._rng)
        for listener in self.listeners:
            await listener.open()
        self._close_idle()

    def stop(self) -> None:
        """End the process: reset its connections and refuse new ones; one that vanishes only falls silent."""
        if self.incarnation.vanishes and self.listening and not self.silent:
            self.silent = True
            for listener in self.listeners:
                listener.stop_accepting()
            return
        if self._timer is not None:
            self._timer.cancel()
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.reset()

    def kill(self) -> None:
        """End the process in any state, at the end of the run."""
        self.silent = True
        self.stop()

    def _close_idle(self) -> None:
        idle_us = int(self.plan.scenario.fleet.idle_s * 1e6)
        for connection in list(self.connections):
            if (
                connection.record is None
                and self.now() - connection.used_at > idle_us
                and connection.transport is not None
                and not self.silent
                and not connection.listener.egress_blocked
            ):
                connection.transport.close()
        if self.listening:
            asyncio.get_running_loop().call_later(IDLE_CHECK_S, self._close_idle)

    def _load_report(self) -> bytes:
        assert self._model is not None
        in_flight, queue, utilisation = self._model.report(self.now())
        return b"inflight=%d,queue=%d,util=%.3f" % (in_flight, queue, utilisation)

    def handle_probe(self, connection: JobConnection, wants_load: bool) -> None:
        """Answer a probe; one for the load has the report as its body, too."""
        self._advance()
        load = self._load_report()
        connection.write(b"200 OK", load, load if wants_load else b"")

    def handle_request(self, connection: JobConnection, fields: dict[bytes, bytes], first: bool) -> None:
        """Accept a request or reject it.

        Args:
            connection: Gets the answer.
            fields: The header.
            first: It is the first request of its connection, which costs more work.
        """
        assert self._model is not None
        now = self.now()
        self._advance()
        identity = fields.get(b"request-id", b"").decode("latin-1")
        try:
            # A hosted service puts the tenant's name and ~ in front.
            agent, arrival, _ = (int(part) for part in identity.rpartition("~")[2].split("."))
            work_us = self.plan.arrivals[arrival % len(self.plan.arrivals)].work_us
        except (ValueError, ZeroDivisionError):
            connection.write(b"400 Bad Request", self._load_report())
            return
        record = AttemptRecord(identity, agent, self.label, now)
        self._attempts.append(record)
        if first:
            work_us += int(self.plan.scenario.fleet.first_request_ms * 1000)
        job = Job(identity, work_us, fields.get(b"idempotency-key", b"").decode("latin-1"), first=first)
        if self._drains(now) or not self._model.arrive(now, job):
            record.rejected = True
            record.answered = now
            connection.write(b"503 Service Unavailable", self._load_report(), fields=b"Not-Started: 1\r\n")
            return
        if self._model.fallen:
            self._fallen.append((now, self.label))
            self.incarnation.vanishes = False
            self.stop()
            return
        connection.record = record
        self._executions[id(job)] = _Execution(connection, record)
        record.began = job.began
        self._arm_timer()

    def _drains(self, now: int) -> bool:
        return self.incarnation.drain is not None and now >= self.incarnation.drain

    def _advance(self) -> None:
        assert self._model is not None
        for job in self._model.advance(self.now()):
            self._finish(job)

    def _finish(self, job: Job) -> None:
        execution = self._executions.pop(id(job))
        connection, record = execution.connection, execution.record
        now = self.now()
        record.began, record.ended, record.repeat = job.began, job.ended, job.repeat
        assert job.ended is not None
        self._delays_us.append(now - job.ended)
        if connection.record is not record or self.silent or connection.transport is None:
            return  # the agent has closed
        connection.record = None
        record.answered = now
        if self._draw(self.plan.resets, now):
            connection.reset()
        elif self._draw(self.plan.malformed, now):
            connection.send(MALFORMED)
        else:
            connection.write(b"200 OK", self._load_report(), b"done " + job.id.encode())

    def _draw(self, windows: Sequence[Window], now: int) -> bool:
        """Draw whether a fault of these windows happens now."""
        return any(window.start <= now < window.end and self._rng.random() < window.share for window in windows)

    def _arm_timer(self) -> None:
        assert self._model is not None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self._model.due()
        if at < FOREVER and self.listening:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, (at - self.now()) / 1e6), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        self._arm_timer()

    def finish_records(self) -> None:
        """Record the begin of the jobs that still run at the end of the run."""
        if self._model is not None:
            for job in self._model.jobs():
                execution = self._executions.get(id(job))
                if execution is not None:
                    execution.record.began = job.began
