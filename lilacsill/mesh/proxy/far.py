"""Requests that proxies offer to the backend of this machine, their place at its gate, and its answers.

The sender of an offer hears exactly one outcome: declined (a promise: it has not run and never will), an answer of the
backend, or unanswered (it may have run).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lilacsill.address import Address
from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import (
    BodyChunk,
    Headers,
    IndirectPing,
    Load,
    Message,
    NoResponse,
    Offer,
    Rejected,
    Response,
)
from lilacsill.mesh.runtime.reactor import Reactor

from .backend import BackendConnection, Pool, passed_on
from .gate import Gate, Ticket
from .life import Life
from .silence import QUIET_US, Dark
from .suspicions import Missing

PILE = 256 * 1024  # not taken by the next on the way: the one before is made to wait
LOOK_US = 20_000
WATCH_US, STOOD_US = 150_000, 150_000
LATE_PART = 0.7  # of what is usual: with less time to its aim a request can only be late
OVERDUE = 5.0  # times what is usual
SETTLED_US = 100_000  # a request that is out for so long is surely known to its backend
MISDIRECTED = 421  # by a backend that is not the one meant
PROMISING = (408, MISDIRECTED, 429, 503)  # to a client each says that the request has not run and never will
ANSWER_MARGIN_US = 30_000  # a backend's own 504 is given this long to come


class OutcomeSink(Protocol):
    """The sender of an offer, or the link to it."""

    def send(self, message: Message) -> int:
        """Returns how many bytes it has not taken yet; if they are many it calls `relieved` of the request."""


class BackendGateway:
    """Takes offers for the backend of this machine."""

    def __init__(self, reactor: Reactor, life: Life, app: Address) -> None:
        self.reactor, self.life = reactor, life
        self.gate = Gate()
        self.pool = Pool(reactor, app)
        self.requests: set[BackendRequest] = set()
        self._missing = Missing()
        self.status: Callable[[], bytes] = lambda: b"{}"  # for operators who ask
        self.look: Callable[[IndirectPing, Callable[[Message], None]], None] = lambda m, reply: None  # for a neighbour
        self._looking = self._watching = False
        self._watched_at = 0
        self.dark = Dark()

    def now(self) -> int:
        return self.reactor.now()

    def load(self) -> Load:
        return self.gate.load(self.now())

    def offer(self, offer: Offer, sink: OutcomeSink) -> BackendRequest | None:
        """Returns None where it is declined; the sink has been told."""
        now = self.now()
        why = self.life.turns(offer.server, now)
        if not why and self.dark.turns(offer.idempotent, now):
            why = "unreachable"
        if why:
            sink.send(Rejected(why, self.gate.load(now)))
            return None
        # A slot is a connection at most, and one is left for a look at the backend's health.
        self.gate.slots = max(1, min(self.life.slots, self.pool.most - 1))
        request = BackendRequest(self, offer, sink)
        why = self.gate.offer(request.ticket, now)
        if why:
            request.over = True
            self.requests.discard(request)
            sink.send(Rejected(why, self.gate.load(now)))
            return None
        if not self._watching:
            self._watching, self._watched_at = True, now
            self.reactor.after(WATCH_US, self._watch)
        if request.ticket.state == "waits" and not self._looking:
            self._looking = True
            self.reactor.after(LOOK_US, self._look)
        return request

    def _look(self) -> None:
        self.gate.look(self.now())
        self._looking = any(c.ticket.state == "waits" for c in self.requests)
        if self._looking:
            self.reactor.after(LOOK_US, self._look)

    def _watch(self) -> None:
        """Look for a silent backend, unless this process has been stalled itself: answers may wait unread."""
        now = self.now()
        stood, self._watched_at = now - self._watched_at > WATCH_US + STOOD_US, now
        out = [c for c in self.requests if c.is_out]
        if not stood:
            for request in out:
                request.look_overdue()
            times = ((now - c.ticket.began_at, self.gate.expected_us(c.ticket.route)) for c in out)
            if self.dark.lit and self.dark.is_silent(times, now):
                self._fell_silent(out, now)
        self._watching = bool(self.requests)
        if self._watching:
            self.reactor.after(WATCH_US, self._watch)

    def _fell_silent(self, out: list[BackendRequest], now: int) -> None:
        """Reads are tried elsewhere. Whether a write has run is not known, so it waits until its time is up."""
        log.info("the backend is silent: %d requests are out", len(out))
        self.dark.failed(now)
        self.gate.clear("unreachable")
        self.pool.clear()
        for request in out:
            if request.repeatable:
                request.on_lost("its backend is silent")

    def reported(self, report: bytes | None, answered: BackendRequest) -> None:
        """An answer has told what the backend holds, its own request counted in."""
        if report is None:
            return
        now = self.now()
        # What was sent a moment ago may not have come when the report was made. A write is never given up: it may run.
        out = [c for c in self.requests if c.is_out and (c is answered or now - c.ticket.began_at > SETTLED_US)]
        if not self._missing.told(report, len(out)):
            return
        late = [
            c
            for c in out
            if c is not answered
            and c.repeatable
            and self._missing.overdue(now - c.ticket.began_at, self.gate.expected_us(c.ticket.route))
        ]
        if late:
            min(late, key=lambda c: c.ticket.began_at).on_lost("its backend holds it no more")

    def after(self, us: int, call: Callable[[], None]) -> None:
        self.reactor.after(us, call)


class BackendRequest:
    """One offered request on its way through the gate to the backend, and its answer on the way back."""

    def __init__(self, gateway: BackendGateway, offer: Offer, sink: OutcomeSink) -> None:
        self._gateway, self._offer, self._sink = gateway, offer, sink
        now = gateway.now()
        self._until = now + offer.time_left_ms * 1000
        # Later than this an answer would come after its aim; what has lost that already may wait a little, and so may
        # what is short: it takes little room, and mostly other work waits for it.
        expected = gateway.gate.expected_us(offer.route, offer.expected_ms)
        aim_us = offer.target_left_ms * 1000
        late = aim_us < LATE_PART * expected
        waits = late or gateway.gate.is_short(offer.route, offer.expected_ms)
        until = now + (offer.time_left_ms * 1000 if waits else aim_us) - expected
        self.ticket = Ticket(offer.priority, until, offer.route, self._begin, self._declined, offer.expected_ms, late)
        self.attempt_id = next((v for n, v in offer.headers if n.lower() == b"attempt-id"), b"")
        self.repeatable = offer.idempotent
        self.is_head = offer.method == b"HEAD"
        self._connection: BackendConnection | None = None
        self._pieces: list[BodyChunk] = []  # of the body, before there is a connection
        self._streaming = self._overdue = False
        self.over = False
        gateway.requests.add(self)

    @property
    def is_out(self) -> bool:
        """The backend should hold it."""
        return self._connection is not None and not self.over

    # From the sender

    def piece(self, piece: BodyChunk) -> None:
        """More of the body."""
        if self.over:
            return
        if self._connection is None:
            self._pieces.append(piece)
        elif self._connection.open:
            self._connection.send_more(piece.data, piece.last, self._offer.content_length < 0)

    @property
    def unsent(self) -> int:
        """Bytes of the body that the backend has not taken."""
        return sum(len(p.data) for p in self._pieces) + (self._connection.unsent if self._connection else 0)

    def cancel(self) -> None:
        """Nobody waits for it any more."""
        if self.over:
            return
        self._gateway.gate.withdraw(self.ticket)
        self._end(drop=True)

    def hold(self, on: bool) -> None:
        """The sink is slow."""
        if self._connection is not None and self._connection.stream is not None:
            if on:
                self._connection.stream.pause()
            else:
                self._connection.stream.resume()

    # From the gate

    def _declined(self, why: str) -> None:
        self._end()
        self._sink.send(Rejected(why, self._gateway.load()))

    def _begin(self) -> None:
        why = self._gateway.life.turns(self._offer.server, self._gateway.now(), waiting=True)
        if why:
            # Not from inside the gate's own turn.
            return self._gateway.after(0, lambda: self._give_back(why))
        self._gateway.pool.take(self.repeatable, self._connected, self._not_connected)

    def _give_back(self, why: str) -> None:
        if not self.over:
            self._end()
            self._sink.send(Rejected(why, self._gateway.load()))

    def _not_connected(self, e: OSError) -> None:
        self._gateway.dark.failed(self._gateway.now())
        self._give_back("unreachable")

    def _connected(self, connection: BackendConnection) -> None:
        gateway, offer = self._gateway, self._offer
        now = gateway.now()
        left_us = self._until - now
        why = gateway.life.turns(offer.server, now, waiting=True)
        if self.over or why or left_us < 1000:
            gateway.pool.release(connection)
            return self._give_back(why or "late")
        self._connection = connection
        gateway.after(left_us + ANSWER_MARGIN_US, self._late)
        headers: Headers = [
            *offer.headers,
            (b"Time-Left-Ms", b"%d" % (left_us // 1000)),
            (b"Meant-Server", offer.server.encode()),
        ]
        connection.begin(
            self, offer.method, offer.target, headers, offer.body, offer.content_length, offer.body_complete
        )
        pieces, self._pieces = self._pieces, []
        for piece in pieces:
            self.piece(piece)

    def _late(self) -> None:
        if not self.over:
            self._gateway.gate.health.outcome(False, self._gateway.now())
            self._end(drop=True)
            self._sink.send(NoResponse("no answer in time", self._gateway.load()))

    # From the backend

    def look_overdue(self) -> None:
        """Out for far longer than is usual: that tells of the backend, once."""
        gateway = self._gateway
        age_us = gateway.now() - self.ticket.began_at
        if not self._overdue and age_us > max(QUIET_US, OVERDUE * gateway.gate.expected_us(self.ticket.route)):
            self._overdue = True
            gateway.gate.health.outcome(False, gateway.now())

    def on_answer(self, answer: HttpMessage) -> None:
        if self.over:
            return
        self._gateway.dark.answered(self._gateway.now())
        if self._streaming:
            self._end()
            self._sink.send(BodyChunk(answer.take_body(), True))
            return
        not_run = self._is_not_run(answer)
        why = self._spoilt(answer)
        self._gateway.reported(answer.fields.get(b"server-load"), self)
        self._connection = None
        gateway, now = self._gateway, self._gateway.now()
        took_ms = (now - self.ticket.began_at) // 1000
        # Refused while it has room, or failed: a 504 at the deadline is of slow work, and no sign of illness.
        gateway.gate.health.outcome(not why and (answer.status < 500 or answer.status == 504), now)
        self._end(timed=not not_run and answer.status < 300)
        if why:
            self._sink.send(NoResponse(why, self._gateway.load()))
            return
        body = answer.take_body()
        self._sink.send(
            Response(answer.status, self._lines(answer), body, True, len(body), not_run, took_ms, self._gateway.load())
        )

    def on_part(self, answer: HttpMessage) -> None:
        if self.over:
            return
        self._gateway.dark.answered(self._gateway.now())
        if not self._streaming:
            why = self._spoilt(answer)
            if why:
                return self.on_lost(why)
            self._streaming = True
            message: Message = Response(
                answer.status,
                self._lines(answer),
                answer.take_body(),
                False,
                -1 if answer.length is None else answer.length,
                self._is_not_run(answer),
                0,
                self._gateway.load(),
            )
        else:
            message = BodyChunk(answer.take_body(), False)
        if self._sink.send(message) > PILE:
            self.hold(True)

    def relieved(self) -> None:
        self.hold(False)

    def on_lost(self, why: str) -> None:
        if self.over:
            return
        self._gateway.gate.health.outcome(False, self._gateway.now())
        self._end(drop=True)
        self._sink.send(NoResponse(why, self._gateway.load()))

    @staticmethod
    def _is_not_run(answer: HttpMessage) -> bool:
        """The backend's own promise."""
        return b"not-run" in answer.fields or answer.status == MISDIRECTED

    def _spoilt(self, answer: HttpMessage) -> str:
        """Why it can't be passed on: a success that is none, or a status that promises what the backend has not."""
        if answer.status >= 300:
            unfounded = answer.status in PROMISING and not self._is_not_run(answer)
            return "a promise that is not the backend's" if unfounded and not self.repeatable else ""
        if b"server-seal" not in answer.fields:
            return "a success without its seal"
        if b"content-encoding" in answer.fields:
            return "a body that nobody asked for"
        return ""

    @staticmethod
    def _lines(answer: HttpMessage) -> Headers:
        return [line for line in passed_on(answer) if line[0].lower() != b"server-load"]

    def _end(self, drop: bool = False, timed: bool = False) -> None:
        if self.over:
            return
        self.over = True
        self._gateway.requests.discard(self)
        connection, self._connection = self._connection, None
        if drop and connection is not None:
            connection.user = None
            self._gateway.pool.forget(connection)
            connection.drop()
        self._gateway.gate.ended(self.ticket, self._gateway.now(), timed)
