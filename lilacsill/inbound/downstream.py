"""One connection of the application: requests read from it one at a time, answers written to it."""
from __future__ import annotations

from typing import Protocol

from httptools import HttpRequestParser

from ..admission.connections import Record
from ..admission.policy import State
from ..http1.connection import Connection
from ..http1.message import Headers, Message, Reader, Unreadable, answer
from .validation import DownstreamRequest, Respond

API, HEALTH = b"/api", b"/_health"
BODY_LIMIT = 64 * 1024


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
        """Raises Unreadable for one that is not taken."""
        ...


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    handler: RequestHandler
    validator: Validator
    open_request_ids: set[bytes]

    @property
    def draining(self) -> bool: ...

    @property
    def healthy(self) -> bool: ...

    def entered(self, connection: DownstreamConnection, state: State) -> None:
        """The connection stands differently from now on."""

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        """Whether the answer that goes out now leaves it open."""

    def served(self, connection: DownstreamConnection) -> None:
        """A good answer goes out."""

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Its descriptor is free."""


class DownstreamConnection(Connection):
    """A connection of the application; one request at a time."""

    def __init__(self, owner: ConnectionOwner, record: Record) -> None:
        super().__init__()
        self._owner = owner
        self.record = record  # what admission knows of it
        self._reader = Reader(HttpRequestParser, BODY_LIMIT)
        self._request: Message | None = None  # the one in hand
        self._call: DownstreamRequest | None = None
        self._ahead = False  # more came while it was
        self._continued: Message | None = None  # has been asked for its body

    # Its state

    @property
    def in_hand(self) -> bool:
        """Whether a request of it has no final answer yet."""
        return self._call is not None

    @property
    def idle(self) -> bool:
        """Nothing of a request has come, as far as the kernel knows, and no answer is still going out."""
        return (self._call is None and self._reader.current is None and not self.discarding and self.written
                and self.nothing_to_read())

    @property
    def may_make_way(self) -> bool:
        """Whether it can be closed now with no request taken and no answer cut short."""
        if not self.open:
            return False
        if self.record.state is State.LINGERING:
            return self._call is None and self.written
        return self._call is None and self.written and self.nothing_to_read()

    def expire(self) -> None:
        """It has stayed as it is for too long."""
        if self.record.state is State.LINGERING or self.discarding:
            self.drop()
        elif self._reader.current is not None:
            self._error(Unreadable(408, "request not complete in time"))
        elif not self.written:  # its answer is not read; closing would wait for that
            self.drop()
        elif self.nothing_to_read():
            self.close()

    # What comes in

    def shut(self) -> None:
        super().shut()
        self._reader.end()
        self._owner.connection_closed(self)

    def on_data(self, data: bytes) -> None:
        if self._call is not None:
            # Nothing behind a request in hand is looked at; line ends between messages mean nothing.
            self._ahead = self.discarding = bool(data.strip(b"\r\n"))
            return
        whole = self._reader.feed(data)
        current, error = self._reader.current, self._reader.error
        if whole and (len(whole) > 1 or current is not None or error is not None):
            self._error(Unreadable(400, "one request at a time"))
        elif error is not None:
            self._error(error)
        elif whole:
            self._take(whole[0])
        elif current is not None:
            self._owner.entered(self, State.READING)
            self._continue(current)

    def on_fault(self) -> None:
        self._leave()
        if self.open:
            self._error(Unreadable(500, "internal error"))

    def on_end(self) -> None:
        self._leave()

    def _leave(self) -> None:
        call = self._release()
        if call is not None:
            self._owner.handler.client_gone(call)

    def _release(self) -> DownstreamRequest | None:
        call, self._call = self._call, None
        if call is not None:
            self._owner.open_request_ids.discard(call.id)
        return call

    def _continue(self, request: Message) -> None:
        wanted = request.fields.get(b"expect", b"").lower() == b"100-continue"
        if wanted and self._reader.in_body and self._continued is not request:
            self._continued = request
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, request: Message) -> None:
        self._request = request
        try:
            path = request.target.partition(b"?")[0]
            if path == HEALTH:
                return self._respond(200 if self._owner.healthy else 503, [], b"")
            if path != API:
                raise Unreadable(404, "no such path")
            call = self._owner.validator.validate(request, self._answer)
            if call.id in self._owner.open_request_ids:
                raise Unreadable(409, "this Request-Id is open")
        except Unreadable as e:
            return self._respond(e.status, [], f"{e}\n".encode())
        call.known = self.record.known
        self._call = call
        self._owner.open_request_ids.add(call.id)
        self._owner.entered(self, State.IN_FLIGHT)
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
            self._error(Unreadable(400, "one request at a time"))

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        """The answer to a request that came whole."""
        if not self.open:
            return
        request, self._request = self._request, None
        assert request is not None
        last = self._owner.draining or not request.keep_alive or not self._owner.keeps_alive(self)
        if last:
            headers = [*headers, ("Connection", "close")]
        self.send(answer(status, headers, body, request.method == b"HEAD"))
        self._owner.entered(self, State.IDLE)
        if last:
            self.close()

    def _error(self, e: Unreadable, advice: Headers | None = None) -> None:
        """The answer to what is not, or not yet, a request. The rest is read and dropped: closing on unread
        bytes would reset the answer away."""
        if not self.open:
            return
        self.send(answer(e.status, [("Connection", "close"), *(advice or ())], f"{e}\n".encode()))
        self.discarding = True
        self._owner.entered(self, State.LINGERING)
        assert self.stream is not None
        self.stream.half_close()
