"""The backends' side: attempts and probes, and how each of them ended."""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable

from lilacsill.balancing.interface import Backend, BackendId, BackendState, Outcome
from lilacsill.clock import Clock
from lilacsill.http1.message import Message, encode_chunk, encode_request, encode_request_head
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.timers import Timer

from ..descriptors import EXHAUSTED
from ..discovery.listing import Listing, Member
from ..watermarks import Sink
from .pool import Pool, UpstreamConnection
from .terms import Begin, Result, Upload, UpstreamRequest, parse_report

log = logging.getLogger(__name__)

HOST = (b"Host", b"origin.svc")
LOAD = b"/_load"
PROBE_US = 50_000  # a load told later than this is of no use to the requests that answered for it
HELD = 64 * 1024  # of an answer's body; a longer one is passed on as it comes, and its first bytes are what is timed
HOLD_US = 50_000  # one of unknown length is held no longer than this
STALL_US = 15_000_000  # neither side of a stream has moved for so long: it is over
REPORT_US = 50_000  # a load told longer ago, in a head whose body came slowly, is not the load at its end
OUR_OWN = EXHAUSTED | {errno.EADDRNOTAVAIL}  # lacks of this machine


class Exchange:
    """One attempt or probe. Ends exactly once, with a Result."""

    def __init__(
        self,
        backends: Backends,
        backend: BackendId,
        ask: UpstreamRequest,
        timeout_us: int,
        done: Callable[[Result], None],
        begin: Begin | None = None,
    ) -> None:
        self._backends, self._backend, self._ask, self._done = backends, backend, ask, done
        self._began = backends.clock.now()
        self._until = self._began + timeout_us
        self._connection: UpstreamConnection | None = None
        self._connecting: ConnectAttempt | None = None
        self._answer: Message | None = None
        self._begin = begin
        self._hold: Timer | None = None
        self._uploading: Upload | None = None  # while some of the body is still to be sent
        self._sending = False  # the module knows that writing takes its time
        self._sink: Sink | None = None  # once the answer is the client's
        self._first_us = 0  # till its first part came; the work is done by then, and slow writing is no load
        self._moved_at = 0  # when some of a stream last went on
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
            left_us = ask.patience_us or self._until - self._backends.clock.now()
            headers.append((b"Request-Timeout-Ms", b"%d" % max(1, left_us // 1000)))
        if ask.upload is None:
            connection.send(encode_request(ask.method, ask.target, headers, ask.body))
            return self._put_all()
        kept = ask.upload.take(self)
        if kept is None:  # an attempt before has passed on what is not kept
            self._backends.pool.discard(connection)
            return self._end(Outcome.NOT_SENT)
        length = ask.upload.length
        headers.append((b"Transfer-Encoding", b"chunked") if length is None else (b"Content-Length", b"%d" % length))
        self._uploading = ask.upload
        connection.send(encode_request_head(ask.method, ask.target, headers))
        if kept:
            self.on_body(kept)
        if ask.upload.whole:
            self.on_body_end()
        else:
            self._put_all()

    def _put_all(self) -> None:
        """All that there is for now."""
        if not self._sent() and not self.ended and self._ask.sending is not None and not self._sending:
            self._sending = True
            self._ask.sending(False)

    # Its body, where it comes by and by

    def on_body(self, data: bytes) -> int:
        if self.ended or self._connection is None or not self._connection.open:
            return 0
        assert self._uploading is not None
        self._connection.send(encode_chunk(data) if self._uploading.length is None else data)
        return self._connection.unsent

    def on_body_end(self) -> None:
        if self.ended or self._connection is None or not self._connection.open:
            return
        assert self._uploading is not None
        if self._uploading.length is None:
            self._connection.send(encode_chunk(b""))
        self._uploading = None
        self._timer.cancel()
        self._timer = self._backends.clock.after(self._ask.patience_us, self._timed_out)
        if self._connection.written:
            self.on_written()
        else:
            self._put_all()

    def on_written(self) -> None:
        if self._uploading is not None:
            return self._uploading.relieved(self)
        # A backend begins when the last byte has come: from now on it is timed.
        self._began = self._backends.clock.now()
        if self._sending and self._ask.sending is not None:
            self._sending = False
            self._ask.sending(True)

    # What comes back

    def on_answer(self, answer: Message) -> None:
        self._answer = answer
        if self._sink is not None:
            self._sink.write(answer.take_body())
            self._sink.finish()
        self._end(self._answered(answer))

    def on_part(self, answer: Message) -> None:
        if not self._first_us:
            self._first_us = self._backends.clock.now() - self._began
        if self._sink is not None:
            self._pass_on(answer)
        elif answer.length is not None and answer.length <= HELD:
            pass  # held whole: only its last byte is timed, and till then another attempt may take its place
        elif answer.length is not None or answer.received > HELD:
            self._commit(answer)
        elif self._hold is None:
            self._hold = self._backends.clock.after(HOLD_US, self._commit, answer)

    def _commit(self, answer: Message) -> None:
        """From now on this attempt is the client's, whatever becomes of it."""
        if self.ended or self._sink is not None:
            return
        if answer.status != 200 or self._begin is None:
            return self._end(self._answered(answer))
        self._timer.cancel()
        sink = self._begin(answer)
        if sink is None:
            return self._end(Outcome.CANCELLED)
        self._sink, sink.relieved, sink.left = sink, self._relieved, self.cancel
        if self._connection is not None and self._connection.stream is not None:
            self._connection.stream.read_limit = sink.read_limit
        self._timer = self._backends.clock.after(STALL_US, self._stalled)
        self._pass_on(answer)

    def _pass_on(self, answer: Message) -> None:
        assert self._sink is not None and self._connection is not None
        stream = self._connection.stream
        self._moved_at = self._backends.clock.now()
        if self._sink.write(answer.take_body()) and stream is not None:
            stream.pause()

    def _relieved(self) -> None:
        self._moved_at = self._backends.clock.now()
        if self._connection is not None and self._connection.stream is not None and not self.ended:
            self._connection.stream.resume()

    def _stalled(self) -> None:
        left_us = self._moved_at + STALL_US - self._backends.clock.now()
        if left_us > 0:
            self._timer = self._backends.clock.after(left_us, self._stalled)
        else:
            self._end(Outcome.TIMEOUT)

    def on_spoilt(self) -> None:
        # The process answers and the connection stands, so this is no break. The request has run.
        self._end(Outcome.ERROR)

    def on_end(self) -> None:
        self._end(self._lost())

    def _answered(self, answer: Message) -> Outcome:
        if answer.status == 200 and (self._answer is not None or self._sink is not None):
            return Outcome.OK
        if answer.status in (503, 504) and answer.fields.get(b"not-started") == b"1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def _lost(self) -> Outcome:
        """What a break means: before the last byte was written, the backend surely did not begin."""
        return Outcome.RESET if self._sent() else Outcome.CONNECT_FAILED

    def _sent(self) -> bool:
        return self._connection is not None and self._connection.written and self._uploading is None

    def _timed_out(self) -> None:
        self._end(Outcome.TIMEOUT if self._sent() else Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        if self._ask.upload is not None:
            self._ask.upload.leave(self)
        if self._uploading is not None and self._connection is not None:
            self._connection.clean = False  # answered before it had all of the request
        if self._hold is not None:
            self._hold.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        answer = self._answer
        if self._sink is not None and answer is None:
            self._sink.abort()
        if self._connection is not None:
            if self._connection.stream is not None:
                self._connection.stream.read_limit = None
            self._backends.pool.release(self._connection, answer is not None, self._backends.ready(self._backend))
        latency_us = self._backends.clock.now() - self._began
        first_us = self._first_us or latency_us
        told = self._report(answer) if answer is not None and latency_us - first_us < REPORT_US else ()
        if self._sink is not None:
            self._done(Result(outcome, first_us, told, streamed=True))
        elif answer is None:
            self._done(Result(outcome, latency_us))
        else:
            self._done(Result(outcome, first_us, told, bytes(answer.body), answer.header(b"content-type")))

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
            if backend.state is not BackendState.GONE:
                self._members[backend.id] = member
            if old is not None and not (old.same_process(member) and backend.state is BackendState.READY):
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
        fit = member is not None and member.backend.state is BackendState.READY and backend not in self._out
        return member if fit else None

    def exchange(
        self,
        backend: BackendId,
        ask: UpstreamRequest,
        timeout_us: int,
        done: Callable[[Result], None],
        begin: Begin | None = None,
    ) -> Exchange:
        """`begin` takes an answer that is too long to be held; without it such a one is a failure."""
        exchange = Exchange(self, backend, ask, timeout_us, done, begin)
        exchange.start()
        return exchange

    def probe(self, backend: BackendId, done: Callable[[Result], None]) -> None:
        self.exchange(backend, self._probe, PROBE_US, done)
