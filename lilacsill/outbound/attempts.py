"""The backends' side: attempts and probes, and how each of them ended."""
from __future__ import annotations

import errno
import logging
from collections.abc import Callable
from dataclasses import dataclass

from brasshead.interface import Backend, BackendId, Outcome, State

from ..clock import Clock
from ..descriptors import EXHAUSTED
from ..discovery.listing import Listing, Member
from ..http1.message import Message, request
from ..net.connecting import Connecting
from .pool import Pool, UpstreamConnection

log = logging.getLogger(__name__)

HOST = (b"Host", b"origin.svc")
LOAD = b"/_load"
PROBE_US = 50_000  # a load told later than this is of no use to the requests that answered for it
OUR_OWN = EXHAUSTED | {errno.EADDRNOTAVAIL}  # lacks of this machine


@dataclass(slots=True)  # not frozen: that trebles the cost of making one
class Result:
    """How an exchange ended."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: str | None = None


@dataclass(slots=True)
class UpstreamRequest:
    """What is to be sent to a backend."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    send_timeout: bool = False  # the backend is told how long its answer is waited for
    known: bool = False  # for a known client, who may use the reserve of descriptors


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report by the settings' fields; () where it is missing or bad."""
    if not text or not fields:
        return ()
    values: dict[str, str] = {}
    for part in text.strip().split(","):
        name, _, values[name] = part.partition("=")
    report = []
    try:
        for field in fields:
            x = float(values[field])
            if not 0.0 <= x < 1e9:  # not finite or below 0 would poison every mean it enters
                return ()
            report.append(x)
    except (KeyError, ValueError):
        return ()
    return tuple(report)


class Exchange:
    """One attempt or probe. Ends exactly once, with a Result."""

    def __init__(self, backends: Backends, backend: BackendId, ask: UpstreamRequest, timeout_us: int,
                 done: Callable[[Result], None]) -> None:
        self._backends, self._backend, self._ask, self._done = backends, backend, ask, done
        self._began = backends.clock.now()
        self._until = self._began + timeout_us
        self._connection: UpstreamConnection | None = None
        self._connecting: Connecting | None = None
        self._answer: Message | None = None
        self.ended = False
        self._timer = backends.clock.after(timeout_us, self._timed_out)

    def start(self) -> None:
        member = self._backends.ready(self._backend)
        if member is None:
            return self._end(Outcome.NOT_SENT)
        connection = self._backends.pool.take(member)
        if connection is not None:
            return self._write(connection)
        reservation = self._backends.pool.reserve(self._ask.known)
        if reservation is None:
            return self._end(Outcome.NOT_SENT)
        self._connecting = self._backends.pool.open(member, reservation, self._connected, self._not_connected)
        try:
            self._connecting.begin()
        except Exception:
            log.exception("attempt failed before it was sent")
            self._connecting.cancel()
            self._end(Outcome.NOT_SENT)

    def cancel(self) -> None:
        self._end(Outcome.CANCELLED)

    def _connected(self, connection: UpstreamConnection) -> None:
        self._connecting = None
        self._write(connection)

    def _not_connected(self, e: OSError) -> None:
        self._connecting = None
        # What this machine has run out of says nothing about the backend.
        self._end(Outcome.NOT_SENT if e.errno in OUR_OWN else Outcome.CONNECT_FAILED)

    def _write(self, connection: UpstreamConnection) -> None:
        try:
            self._put(connection)
        except Exception:  # whatever it is, the attempt must end, or its request gets no answer
            log.exception("attempt failed")
            self._end(self._lost())

    def _put(self, connection: UpstreamConnection) -> None:
        # The list may have changed while the connection came up: nothing new goes to one that drains.
        if self.ended or not connection.member.same_process(self._backends.ready(self._backend)):
            self._backends.pool.discard(connection)
            return self._end(Outcome.NOT_SENT)
        self._connection, connection.user = connection, self
        ask, headers = self._ask, [HOST, *self._ask.headers]
        if ask.send_timeout:
            left_ms = max(1, (self._until - self._backends.clock.now()) // 1000)
            headers.append((b"Request-Timeout-Ms", b"%d" % left_ms))
        connection.send(request(ask.method, ask.target, headers, ask.body))

    # What comes back

    def on_answer(self, answer: Message) -> None:
        self._answer = answer
        self._end(self._answered(answer))

    def on_spoilt(self) -> None:
        # The process answers and the connection stands, so this is no break. The request has run.
        self._end(Outcome.ERROR)

    def on_end(self) -> None:
        self._end(self._lost())

    def _answered(self, answer: Message) -> Outcome:
        if answer.status == 200:
            return Outcome.OK
        if answer.status in (503, 504) and answer.fields.get(b"not-started") == b"1":
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
        if self._connecting is not None:
            self._connecting.cancel()
        answer = self._answer
        if self._connection is not None:
            self._backends.pool.release(
                self._connection, answer is not None, self._backends.ready(self._backend))
        latency_us = self._backends.clock.now() - self._began
        if answer is None:
            self._done(Result(outcome, latency_us))
        else:
            self._done(Result(outcome, latency_us, self._report(answer), bytes(answer.body),
                              answer.header(b"content-type")))

    def _report(self, answer: Message) -> tuple[float, ...]:
        fields = self._backends.report_fields
        told = parse_report(answer.header(b"server-load"), fields)
        if not told and self._ask.target == LOAD:
            told = parse_report(answer.body.decode("latin-1"), fields)
        return told


class Backends:
    """The backends of the list."""

    def __init__(self, clock: Clock, report_fields: tuple[str, ...], pool: Pool) -> None:
        self.clock, self.report_fields, self.pool = clock, report_fields, pool
        self._members: dict[BackendId, Member] = {}
        self._out: set[BackendId] = set()  # by operators
        self._probe = UpstreamRequest(b"GET", LOAD if report_fields else b"/ping", [])

    def apply(self, listing: Listing) -> list[Backend]:
        """Take in what discovery says; return the entries in the module's form."""
        for member in listing.members:
            backend = member.backend
            old = self._members.pop(backend.id, None)
            if backend.state is not State.GONE:
                self._members[backend.id] = member
            if old is not None and not (old.same_process(member) and backend.state is State.READY):
                self.pool.forget(backend.id)
        if listing.complete:
            named = {m.backend.id for m in listing.members}
            for gone in [i for i in self._members if i not in named]:
                del self._members[gone]
                self.pool.forget(gone)
        return [m.backend for m in listing.members]

    def knows(self, backend: BackendId) -> bool:
        return backend in self._members

    def maintain(self, backend: BackendId, out: bool) -> None:
        """Nothing new goes to one that is out, whatever discovery says; connections of before lead to what was there
        before."""
        if out:
            self._out.add(backend)
        else:
            self._out.discard(backend)
        self.pool.forget(backend)

    def ready(self, backend: BackendId) -> Member | None:
        member = self._members.get(backend)
        fit = member is not None and member.backend.state is State.READY and backend not in self._out
        return member if fit else None

    def exchange(self, backend: BackendId, ask: UpstreamRequest, timeout_us: int,
                 done: Callable[[Result], None]) -> Exchange:
        exchange = Exchange(self, backend, ask, timeout_us, done)
        exchange.start()
        return exchange

    def probe(self, backend: BackendId, done: Callable[[Result], None]) -> None:
        self.exchange(backend, self._probe, PROBE_US, done)
