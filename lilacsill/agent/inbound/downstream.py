"""One connection of the application: requests read from it one at a time, answers written to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from httptools import HttpRequestParser

from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Headers, InvalidMessageError, Message, Reader, encode_response, origin_form

from ..admission.connections import ConnectionRecord
from ..admission.policy import ConnectionState
from ..watermarks import Sink, Watermarks
from .answering import AnswerStream
from .upload import Upload
from .validation import DownstreamRequest, Respond

API, HEALTH = b"/api", b"/_health"
BODY_LIMIT = 40 * 1024 * 1024  # they come with 32 MB
SMALL = 64 * 1024  # a body that needs no leave to be kept whole
REST_US, REST_BYTE_US = 1_000_000, 20  # for a body that comes by and by, and on top of that for each byte of it


class RequestHandler(Protocol):
    """Who takes the calls."""

    def handle(self, call: DownstreamRequest) -> None: ...

    def client_gone(self, call: DownstreamRequest) -> None:
        """The client has gone."""

    def fail_all(self) -> None:
        """Answer at once whatever is held."""


class Validator(Protocol):
    """Who says what a request must be."""

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        """Raises InvalidMessageError for one that is not taken."""
        ...


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    handler: RequestHandler
    validator: Validator
    open_request_ids: set[bytes]
    marks: Watermarks

    @property
    def draining(self) -> bool: ...

    @property
    def healthy(self) -> bool: ...

    def entered(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """The connection stands differently from now on."""

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        """Whether the answer that goes out now leaves it open."""

    def served(self, connection: DownstreamConnection) -> None:
        """A good answer goes out."""

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Its descriptor is free."""


class DownstreamConnection(Connection):
    """A connection of the application; one request at a time."""

    def __init__(self, owner: ConnectionOwner, record: ConnectionRecord) -> None:
        super().__init__()
        self._owner = owner
        self.record = record  # what admission knows of it
        self._reader = Reader(HttpRequestParser, BODY_LIMIT)
        self._request: Message | None = None  # the one in hand
        self._call: DownstreamRequest | None = None
        self._ahead = False  # more came while it was
        self._last = False  # the stream that goes out is the last answer here
        self._continued: Message | None = None  # has been asked for its body
        self._answering: AnswerStream | None = None  # what goes out while it comes in
        self._upload: Upload | None = None  # what goes on while it comes in
        self._kept = 0  # bytes of the request's body that were given leave to be kept

    # Its state

    @property
    def in_hand(self) -> bool:
        """Whether a request of it has no final answer yet."""
        return self._call is not None

    @property
    def idle(self) -> bool:
        """Nothing of a request has come, as far as the kernel knows, and no answer is still going out."""
        return (
            self._call is None
            and self._reader.current is None
            and not self.discarding
            and self.written
            and self.nothing_to_read()
        )

    @property
    def may_make_way(self) -> bool:
        """Whether it can be closed now with no request taken and no answer cut short."""
        if not self.open:
            return False
        if self.record.state is ConnectionState.LINGERING:
            return self._call is None and self.written
        return self._call is None and self.written and self.nothing_to_read()

    def expire(self) -> None:
        """It has stayed as it is for too long."""
        if self.record.state is ConnectionState.LINGERING or self.discarding:
            self.drop()
        elif self._upload is not None and self.stream is not None and self.stream.paused:
            pass  # others have not taken what has come, and the client must wait for them
        elif self._reader.current is not None:
            self._leave()
            self._error(InvalidMessageError(408, "request not complete in time"))
        elif not self.written:  # its answer is not read; closing would wait for that
            self.drop()
        elif self.nothing_to_read():
            self.close()

    # What comes in

    def connection_lost(self) -> None:
        super().connection_lost()
        self._reader.end()
        self._owner.connection_closed(self)

    def on_data(self, data: bytes) -> None:
        if self._upload is not None and not self._upload.whole:
            return self._on_body(data, self._upload)
        if self._call is not None:
            # Nothing behind a request in hand is looked at; line ends between messages mean nothing.
            self._ahead = self.discarding = bool(data.strip(b"\r\n"))
            return
        whole = self._reader.feed(data)
        current, error = self._reader.current, self._reader.error
        if whole and (len(whole) > 1 or current is not None or error is not None):
            self._error(InvalidMessageError(400, "one request at a time"))
        elif error is not None:
            self._error(error)
        elif whole:
            self._take(whole[0])
            if self._call is None:
                self._release()
        elif current is not None:
            # On the wire, framing too: it is most of a body in small chunks.
            begun = self.record.state is ConnectionState.BODY
            self.record.received = self.record.received + len(data) if begun else current.received
            self._owner.entered(self, ConnectionState.BODY if self._reader.in_body else ConnectionState.READING)
            self._continue(current)
            if self._reader.in_body and not self._keeps(current):
                self._take(current, REST_US + REST_BYTE_US * (BODY_LIMIT if current.length is None else current.length))

    def _keeps(self, request: Message) -> bool:
        """Whether the body can be kept whole: then the request is passed on once its last byte is here, and may be
        sent more than once."""
        size = request.received if request.length is None else request.length
        more = size - self._kept
        if size <= SMALL or more <= 0:
            return True
        if not self._owner.marks.keeps(more):
            return False
        self._kept += more
        return True

    def _on_body(self, data: bytes, upload: Upload) -> None:
        """More of a body that is passed on as it comes."""
        request = self._reader.current
        whole = self._reader.feed(data)
        assert request is not None
        if self._reader.error is not None and not whole:
            self._leave()
            return self._error(self._reader.error)
        self.record.received += len(data)
        upload.received(request.take_body())
        if whole:
            self._ahead = len(whole) > 1 or self._reader.current is not None or self._reader.error is not None
            self._owner.entered(self, ConnectionState.IN_FLIGHT)
            upload.finished()

    def pause_body(self) -> None:
        if self.stream is not None:
            self.stream.pause()

    def resume_body(self) -> None:
        if self.stream is not None:
            self.stream.resume()

    def read_within(self, limit: Callable[[], int] | None) -> None:
        if self.stream is not None:
            self.stream.read_limit = limit

    def on_fault(self) -> None:
        self._leave()
        if self.open:
            self._error(InvalidMessageError(500, "internal error"))

    def on_end(self) -> None:
        self._leave()

    def _leave(self) -> None:
        call, answering = self._release(), self._answering
        if answering is not None:
            self._answering = None
            if answering.end():
                answering.left()
        elif call is not None:
            self._owner.handler.client_gone(call)

    def flushed(self) -> None:
        super().flushed()
        if self._answering is not None:
            self._answering.flushed()

    def _release(self) -> DownstreamRequest | None:
        call, self._call = self._call, None
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.drop()
            self.resume_body()
            self.read_within(None)
        if self._kept:
            self._owner.marks.kept_no_more(self._kept)
            self._kept = 0
        if call is not None:
            self._owner.open_request_ids.discard(call.id)
        return call

    def _continue(self, request: Message) -> None:
        wanted = request.fields.get(b"expect", b"").lower() == b"100-continue"
        if wanted and self._reader.in_body and self._continued is not request:
            self._continued = request
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, request: Message, rest_us: int = 0) -> None:
        """`rest_us`: its body is still coming, for so long at the most."""
        self._request = request
        try:
            request.target = origin_form(request.target)
            path = request.target.partition(b"?")[0]
            if path == HEALTH:
                return self._respond(200 if self._owner.healthy else 503, [], b"")
            if path != API:
                raise InvalidMessageError(404, "no such path")
            call = self._owner.validator.validate(request, self._answer)
            if call.id in self._owner.open_request_ids:
                raise InvalidMessageError(409, "this Request-Id is open")
        except InvalidMessageError as e:
            return self._respond(e.status, [], f"{e}\n".encode())
        call.known, call.begin = self.record.known, self._begin
        self._call = call
        self._owner.open_request_ids.add(call.id)
        if rest_us:
            self._upload = call.upload = Upload(self, self._owner.marks, request.length)
            call.rest_us = rest_us
            self._upload.received(call.body)
            call.body = b""
        else:
            self._owner.entered(self, ConnectionState.IN_FLIGHT)
        self._owner.handler.handle(call)

    # What goes out

    def _answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        if self._call is not call:
            return
        self._release()
        if status == 200:
            self._owner.served(self)
        self._respond(status, headers, body)
        if self._ahead:
            self._error(InvalidMessageError(400, "one request at a time"))

    def _begin(self, call: DownstreamRequest, headers: Headers, length: int | None) -> Sink | None:
        """The answer comes by and by."""
        if self._call is not call or not self.open:
            return None
        assert self._request is not None
        self._owner.served(self)
        last = (
            self._is_last(self._request)
            or self._reader.current is self._request
            or (length is None and self._request.version != "1.1")
        )
        if last:
            headers = [*headers, ("Connection", "close")]
        self._last = last
        self._answering = AnswerStream(self, self._owner.marks, self._request, headers, length)
        return self._answering

    def streamed(self) -> None:
        self._answering = self._request = None
        self._release()
        self._owner.entered(self, ConnectionState.IDLE)
        if self._last or self._owner.draining:
            self.close()
        elif self._ahead:
            self._error(InvalidMessageError(400, "one request at a time"))

    def _is_last(self, request: Message) -> bool:
        return self._owner.draining or not request.keep_alive or not self._owner.keeps_alive(self)

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        """The answer to a request."""
        if not self.open:
            return
        request, self._request = self._request, None
        assert request is not None
        if self._reader.current is request:  # its body is still coming, and what is behind cannot be told from it
            return self._last_answer(status, headers, body)
        last = self._is_last(request)
        if last:
            headers = [*headers, ("Connection", "close")]
        self.send(encode_response(status, headers, body, request.method == b"HEAD"))
        self._owner.entered(self, ConnectionState.IDLE)
        if last:
            self.close()

    def _error(self, e: InvalidMessageError, advice: Headers | None = None) -> None:
        """The answer to what is not, or not yet, a request."""
        self._last_answer(e.status, advice or [], f"{e}\n".encode())

    def _last_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """The rest is read and dropped: closing on unread bytes would reset the answer away."""
        if not self.open:
            return
        self.send(encode_response(status, [("Connection", "close"), *headers], body))
        self.discarding = True
        self._owner.entered(self, ConnectionState.LINGERING)
        assert self.stream is not None
        self.stream.half_close()
