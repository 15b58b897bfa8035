"""An answer that is passed on while it comes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lilacsill.http1.message import Headers, Message, encode_chunk, encode_response_head

from ..watermarks import Watermarks


class Client(Protocol):
    """The connection that it goes out on."""

    @property
    def unsent(self) -> int: ...

    def send(self, data: bytes) -> None: ...

    def close(self) -> None: ...

    def streamed(self) -> None:
        """The answer is whole; what comes next on the connection may be looked at."""


class AnswerStream:
    """Framed as the request's version allows: by its length where that is known, else by chunks, or by the close."""

    def __init__(
        self, client: Client, marks: Watermarks, request: Message, headers: Headers, length: int | None
    ) -> None:
        self._client = client
        self._chunked = length is None and request.version == "1.1"
        self.relieved: Callable[[], None] = lambda: None  # all that was passed on is written
        self.left: Callable[[], None] = lambda: None  # the client has gone
        self._share = marks.opened()
        self.read_limit = self._share.high
        if length is not None:
            headers = [*headers, ("Content-Length", str(length))]
        elif self._chunked:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        client.send(encode_response_head(200, headers))

    def write(self, data: bytes) -> bool:
        """Pass a piece on. Returns whether the reading side has to wait until `relieved`."""
        if data:
            self._client.send(encode_chunk(data) if self._chunked else data)
        return self._share.holds(self._client.unsent)

    def flushed(self) -> None:
        """The client has taken all of it."""
        self._share.holds(0)
        self.relieved()

    def finish(self) -> None:
        """The answer is whole."""
        if self.end():
            if self._chunked:
                self._client.send(encode_chunk(b""))
            self._client.streamed()

    def abort(self) -> None:
        """The rest will never come. What was passed on lacks its end, and so the client can tell."""
        if self.end():
            self._client.close()

    def end(self) -> bool:
        """Nothing more goes out. Returns whether this was not so before."""
        return self._share.end()
