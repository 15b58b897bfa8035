"""The backends' side: connections kept for reuse, attempts and probes, and how each of them ended."""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import h11

from brasshead.interface import Backend, BackendId, Outcome, State

from .clock import Clock
from .connection import Connection, Headers, header
from .discovery import Address, Listing, Member

log = logging.getLogger(__name__)

HOST = "origin.svc"
PROBE_US = 50_000  # a load told later than this is of no use to the requests that asked for it
IDLE_SHARE = 0.7  # of the time after which a backend closes an idle connection; then it is retired here
ANSWER_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class Result:
    """How an exchange ended."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: str | None = None


@dataclass(slots=True, frozen=True)
class Ask:
    """What is to be sent to a backend."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    told_timeout: bool = False  # the backend is told how long its answer is waited for


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report by the settings' fields; () where it is missing or bad."""
    if not text or not fields:
        return ()
    try:
        values = dict(part.split("=", 1) for part in text.strip().split(","))
        report = tuple(float(values[f]) for f in fields)
    except (KeyError, ValueError):
        return ()
    # Not finite or below 0 would poison every mean it enters.
    return report if all(0.0 <= x < 1e9 for x in report) else ()


class _Pooled(Connection):
    """A connection to a backend; idle, or in the hands of one exchange."""

    def __init__(self, member: Member, discard: Callable[[_Pooled], None]) -> None:
        super().__init__()
        self.member, self._discard = member, discard
        self.exchange: Exchange | None = None
        self.idle_since = 0
        self.retire: asyncio.TimerHandle | None = None

    def on_event(self, event: h11.Event) -> None:
        if self.exchange is not None:
            self.exchange.on_event(event)

    def on_broken(self, error: Exception) -> None:
        self.on_end()
        self.drop()

    def on_end(self) -> None:
        self.closed = True
        if self.exchange is not None:
            self.exchange.on_end()
        else:
            self._discard(self)

    def usable(self) -> bool:
        """Idle and, as far as the kernel knows, open: one with anything to read was closed by the peer."""
        return not self.closed and self.quiet()


class Exchange:
    """One attempt or probe. Ends exactly once, with a Result."""

    def __init__(self, backends: Backends, backend: BackendId, ask: Ask, timeout_us: int,
                 done: Callable[[Result], None]) -> None:
        self._backends, self._backend, self._ask, self._done = backends, backend, ask, done
        self._loop = asyncio.get_running_loop()
        self._began = backends.clock.now()
        self._until = self._began + timeout_us
        self._connection: _Pooled | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._written = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self.ended = False
        self._timer = self._loop.call_later(timeout_us / 1e6, self._timed_out)

    def start(self) -> None:
        member = self._backends.ready(self._backend)
        if member is None:
            return self._end(Outcome.NOT_SENT)
        connection = self._backends.take(member)
        if connection is not None:
            return self._write(connection)
        if not self._backends.room():
            return self._end(Outcome.NOT_SENT)
        self._connecting = self._loop.create_task(self._connect(member))
        self._backends.tasks.add(self._connecting)
        self._connecting.add_done_callback(self._backends.tasks.discard)

    def cancel(self) -> None:
        self._end(Outcome.CANCELLED)

    async def _connect(self, member: Member) -> None:
        try:
            connection = await self._backends.open(member)
        except (OSError, TimeoutError):
            return self._end(Outcome.CONNECT_FAILED)
        except Exception:
            log.exception("attempt failed before it was sent")
            return self._end(Outcome.NOT_SENT)
        self._connecting = None
        self._write(connection)

    def _write(self, connection: _Pooled) -> None:
        try:
            self._put(connection)
        except Exception:  # whatever it is, the attempt must end, or its request gets no answer
            log.exception("attempt failed")
            self._end(self._lost())

    def _put(self, connection: _Pooled) -> None:
        # The list may have changed while the connection came up: nothing new goes to one that drains.
        if not connection.member.same_process(self._backends.ready(self._backend)):
            connection.drop()
            return self._end(Outcome.NOT_SENT)
        self._connection, connection.exchange = connection, self
        ask, headers = self._ask, [("Host", HOST), *self._ask.headers]
        if ask.told_timeout:
            left_ms = max(1, (self._until - self._backends.clock.now()) // 1000)
            headers.append(("Request-Timeout-Ms", str(left_ms)))
        if ask.body or ask.method == "POST":
            headers.append(("Content-Length", str(len(ask.body))))
        events: list[h11.Event] = [h11.Request(method=ask.method, target=ask.target, headers=headers)]
        if ask.body:
            events.append(h11.Data(data=ask.body))
        connection.send(*events, h11.EndOfMessage())

    # What comes back

    def on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._status, self._headers = event.status_code, list(event.headers)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > ANSWER_BYTES:
                self._end(Outcome.ERROR)
        elif isinstance(event, h11.EndOfMessage):
            self._end(self._answered())

    def on_end(self) -> None:
        self._end(self._lost())

    def _answered(self) -> Outcome:
        if self._status == 200:
            return Outcome.OK
        if self._status in (503, 504) and header(self._headers, b"not-started") == "1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def _lost(self) -> Outcome:
        """What a break means: before the last byte was written, the backend surely did not begin."""
        return Outcome.RESET if self._sent() else Outcome.CONNECT_FAILED

    def _sent(self) -> bool:
        return self._connection is not None and self._connection.written

    def _timed_out(self) -> None:
        self._end(Outcome.TIMEOUT if self._sent() else Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.exchange = None
            self._backends.give_back(self._connection)
        self._done(Result(
            outcome, self._backends.clock.now() - self._began, self._report(), bytes(self._body),
            header(self._headers, b"content-type"),
        ))

    def _report(self) -> tuple[float, ...]:
        fields = self._backends.report_fields
        told = parse_report(header(self._headers, b"server-load"), fields)
        if not told and self._ask.target == "/_load":
            told = parse_report(self._body.decode("latin-1"), fields)
        return told


class Backends:
    """The backends of the list, and the idle connections to them."""

    def __init__(self, clock: Clock, report_fields: tuple[str, ...], connect_timeout_us: int,
                 conn_idle_us: int, most: int) -> None:
        self.clock, self.report_fields = clock, report_fields
        self._connect_s = connect_timeout_us / 1e6
        self._idle_us = int(conn_idle_us * IDLE_SHARE)
        self._most = most  # connections at once, so that descriptors are left for clients
        self._members: dict[BackendId, Member] = {}
        self._idle: dict[BackendId, list[_Pooled]] = {}
        self._open: set[_Pooled] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def told(self, listing: Listing) -> list[Backend]:
        """Take in what discovery says; return the entries in the module's form."""
        for member in listing.members:
            backend = member.backend
            old = self._members.pop(backend.id, None)
            if backend.state is not State.GONE:
                self._members[backend.id] = member
            if old is not None and not (old.same_process(member) and backend.state is State.READY):
                self._forget(backend.id)
        if listing.complete:
            named = {m.backend.id for m in listing.members}
            for gone in [i for i in self._members if i not in named]:
                del self._members[gone]
                self._forget(gone)
        return [m.backend for m in listing.members]

    def ready(self, backend: BackendId) -> Member | None:
        member = self._members.get(backend)
        return member if member is not None and member.backend.state is State.READY else None

    def exchange(self, backend: BackendId, ask: Ask, timeout_us: int,
                 done: Callable[[Result], None]) -> Exchange:
        exchange = Exchange(self, backend, ask, timeout_us, done)
        exchange.start()
        return exchange

    def probe(self, backend: BackendId, done: Callable[[Result], None]) -> None:
        target = "/_load" if self.report_fields else "/ping"
        self.exchange(backend, Ask("GET", target, []), PROBE_US, done)

    # Connections

    async def open(self, member: Member) -> _Pooled:
        address: Address = member.address
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_s):
            _, connection = await loop.create_connection(
                lambda: _Pooled(member, self._discard), address.host, address.port)
        self._open.add(connection)
        return connection

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes way."""
        self._open = {c for c in self._open if not c.closed} if len(self._open) >= self._most else self._open
        if len(self._open) < self._most:
            return True
        idle = [c for kept in self._idle.values() for c in kept]
        if not idle:
            return False
        self._discard(min(idle, key=lambda c: c.idle_since))
        return True

    def take(self, member: Member) -> _Pooled | None:
        """The idle connection used last, if there is one that can be trusted."""
        kept = self._idle.get(member.backend.id, [])
        while kept:
            connection = kept.pop()
            if connection.retire is not None:
                connection.retire.cancel()
            young = self.clock.now() - connection.idle_since < self._idle_us
            if young and member.same_process(connection.member) and connection.usable():
                return connection
            self._discard(connection)
        return None

    def give_back(self, connection: _Pooled) -> None:
        """Keep a connection whose exchange is over in good order; close any other."""
        http = connection.http
        over = http.our_state is h11.DONE and http.their_state is h11.DONE
        member = connection.member
        if (connection.closed or not over or not connection.written or http.trailing_data[0]
                or not member.same_process(self.ready(member.backend.id))):
            return self._discard(connection)
        http.start_next_cycle()
        connection.idle_since = self.clock.now()
        connection.retire = asyncio.get_running_loop().call_later(
            self._idle_us / 1e6, self._retired, connection)
        self._idle.setdefault(member.backend.id, []).append(connection)

    def _retired(self, connection: _Pooled) -> None:
        kept = self._idle.get(connection.member.backend.id, [])
        if connection in kept:
            kept.remove(connection)
        self._discard(connection)

    def _forget(self, backend: BackendId) -> None:
        for connection in self._idle.pop(backend, []):
            self._discard(connection)

    def _discard(self, connection: _Pooled) -> None:
        if connection.retire is not None:
            connection.retire.cancel()
        kept = self._idle.get(connection.member.backend.id)
        if kept and connection in kept:
            kept.remove(connection)
        self._open.discard(connection)
        connection.drop()
