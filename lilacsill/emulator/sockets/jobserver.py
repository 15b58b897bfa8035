"""A job server on real sockets: a thin shell round `lilacsill.emulator.models.server`, by the platform's protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

from httptools import HttpParserError, HttpRequestParser

from ..models.judge import AttemptRecord
from ..models.plan import Incarnation, Plan, Window
from ..models.server import FOREVER, Job, JobServer, RepeatMemory
from .listener import Listener, Wire

SPOILT = b"HTTP/1.1 2x0 \xff\r\nContent-Length: x\r\n\r\n"
Now = Callable[[], int]  # microseconds since the run began


class Connection(Wire):
    """One connection of an agent; a request at a time."""

    def __init__(self, server: ServerShell, listener: Listener) -> None:
        super().__init__(listener)
        self.server = server
        self._parser = HttpRequestParser(self)
        self._url = b""
        self._fields: dict[bytes, bytes] = {}
        self._requests = 0
        self.book: AttemptRecord | None = None  # of the request in hand
        self.used = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.used = self.server.now()
        if len(self.server.connections) >= self.server.plan.scenario.fleet.connections:
            self.end()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.server.connections.discard(self)
        self._left()

    def eof_received(self) -> None:
        self._left()

    def _left(self) -> None:
        """The agent gave up; the work goes on."""
        if self.book is not None:
            if self.book.closed is None:
                self.book.closed = self.server.now()
            self.book = None

    def data_received(self, data: bytes) -> None:
        if self.server.silent:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            assert self.transport is not None
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._url, self._fields = b"", {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        self.used = self.server.now()
        self._requests += 1
        if self._url in (b"/ping", b"/_load"):
            self.server.probed(self, self._url == b"/_load")
        else:
            self.server.asked(self, self._fields, self._requests == 1)

    def write(self, status: bytes, load: bytes, body: bytes = b"", more: bytes = b"") -> None:
        self.send(
            b"HTTP/1.1 %s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, load, more, len(body), body)
        )


class ServerShell:
    """One incarnation: up from its start to its stop."""

    def __init__(
        self,
        plan: Plan,
        index: int,
        addresses: list[tuple[str, int]],
        memory: RepeatMemory,
        now: Now,
        attempts: list[AttemptRecord],
        fallen: list[tuple[int, str]],
        delays: list[int],
    ) -> None:
        """An address for each side of agents."""
        self.plan, self.index, self.now = plan, index, now
        self.what: Incarnation = plan.incarnations[index]
        self.label = f"{self.what.id}#{index}"
        self._memory = memory
        self._attempts, self._fallen, self._delays = attempts, fallen, delays
        self._rng = Random(f"{plan.seed} server {index}")
        self.connections: set[Connection] = set()
        self.silent = False
        self.listeners = [Listener(lambda at: Connection(self, at), address) for address in addresses]
        self._model: JobServer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._owners: dict[int, Connection] = {}  # by id() of the job
        self._books: dict[int, AttemptRecord] = {}

    # Its life

    @property
    def listening(self) -> bool:
        return any(at.listening for at in self.listeners)

    async def start(self) -> None:
        spec = replace(self.plan.spec, speed=self.plan.speeds[self.what.machine])
        self._model = JobServer(spec, self.now(), self.what.cold, list(self.what.spans), self._memory, self._rng)
        for listener in self.listeners:
            await listener.open()
        self._close_idle()

    def stop(self) -> None:
        """The process ends: its connections are reset, new ones refused. Or it says nothing more."""
        if self.what.vanishes and self.listening and not self.silent:
            self.silent = True
            for listener in self.listeners:
                listener.shut()
            return
        if self._timer is not None:
            self._timer.cancel()
        for listener in self.listeners:
            listener.close()
        for c in list(self.connections):
            c.end()

    def kill(self) -> None:
        """At the end of the run, whatever it is."""
        self.silent = True
        self.stop()

    def _close_idle(self) -> None:
        idle_us = int(self.plan.scenario.fleet.idle_s * 1e6)
        for c in list(self.connections):
            if (
                c.book is None
                and self.now() - c.used > idle_us
                and c.transport is not None
                and not self.silent
                and not c.listener.dumb
            ):
                c.transport.close()
        if self.listening:
            asyncio.get_running_loop().call_later(0.25, self._close_idle)

    # Requests

    def _load(self) -> bytes:
        assert self._model is not None
        in_flight, queue, util = self._model.report(self.now())
        return b"inflight=%d,queue=%d,util=%.3f" % (in_flight, queue, util)

    def probed(self, c: Connection, wants_load: bool) -> None:
        self._advance()
        load = self._load()
        c.write(b"200 OK", load, load if wants_load else b"")

    def asked(self, c: Connection, fields: dict[bytes, bytes], first: bool) -> None:
        assert self._model is not None
        now = self.now()
        self._advance()
        number = fields.get(b"request-id", b"").decode("latin-1")
        try:
            # A hosted service puts the tenant's name and ~ in front.
            agent, arrival, _ = (int(x) for x in number.rpartition("~")[2].split("."))
            work = self.plan.arrivals[arrival % len(self.plan.arrivals)].work_us
        except (ValueError, ZeroDivisionError):
            c.write(b"400 Bad Request", self._load())
            return
        book = AttemptRecord(number, agent, self.label, now)
        self._attempts.append(book)
        if first:
            work += int(self.plan.scenario.fleet.first_request_ms * 1000)
        job = Job(number, work, fields.get(b"idempotency-key", b"").decode("latin-1"), first=first)
        draining = self.what.drain is not None and now >= self.what.drain
        if draining or not self._model.arrive(now, job):
            book.rejected = True
            book.answered = now
            c.write(b"503 Service Unavailable", self._load(), more=b"Not-Started: 1\r\n")
            return
        if self._model.fallen:
            self._fallen.append((now, self.label))
            self.what.vanishes = False
            self.stop()
            return
        c.book = book
        self._owners[id(job)], self._books[id(job)] = c, book
        book.began = job.began
        self._arm()

    def _advance(self) -> None:
        assert self._model is not None
        for job in self._model.advance(self.now()):
            self._finish(job)

    def _finish(self, job: Job) -> None:
        c, book = self._owners.pop(id(job)), self._books.pop(id(job))
        now = self.now()
        book.began, book.ended, book.repeat = job.began, job.ended, job.repeat
        assert job.ended is not None
        self._delays.append(now - job.ended)
        if c.book is not book or self.silent or c.transport is None:
            return  # the agent has gone
        c.book = None
        book.answered = now
        if self._happens(self.plan.resets, now):
            c.end()
        elif self._happens(self.plan.malformed, now):
            c.send(SPOILT)
        else:
            c.write(b"200 OK", self._load(), b"done " + job.id.encode())

    def _happens(self, windows: list[Window], now: int) -> bool:
        return any(w.start <= now < w.end and self._rng.random() < w.share for w in windows)

    def _arm(self) -> None:
        assert self._model is not None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self._model.due()
        if at < FOREVER and self.listening:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, (at - self.now()) / 1e6), self._due)

    def _due(self) -> None:
        self._timer = None
        self._advance()
        self._arm()

    def close_books(self) -> None:
        """What still runs has begun, too."""
        if self._model is not None:
            for job in self._model.jobs():
                book = self._books.get(id(job))
                if book is not None:
                    book.began = job.began
